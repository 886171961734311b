"""What a VM knows that shows which runners it reaches."""

from .. import clock as clocks

#: What peers say of themselves counts for this many seconds.
PEERS_AGE_S = 2.0


class PeerWords:
    """What the other VMs say of themselves."""

    __slots__ = ("_at", "_clock", "_isolated", "_reaching")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._reaching = self._isolated = 0
        self._at = float("-inf")

    @property
    def reaching(self) -> int:
        """How many say that they reach runners."""
        return self._reaching

    @property
    def isolated(self) -> int:
        """How many say that they are isolated."""
        return self._isolated

    @property
    def age_s(self) -> float | None:
        """Age of their words in seconds; None if nothing is known."""
        return age_s(self._at, self._clock.now())

    @property
    def some_are_isolated(self) -> bool:
        """Whether some have just said that they are isolated."""
        return self._isolated > 0 and (
            self._clock.now() - self._at < PEERS_AGE_S
        )

    def set(self, reaching: int, isolated: int, age_s: float) -> None:
        """Replace what they say, by its age in seconds."""
        self._reaching, self._isolated = reaching, isolated
        self._at = self._clock.now() - age_s


class Evidence:
    """On what a state rests.

    :param failed: IDs of runners to which connections failed lately, sorted.
    :param failures: failures in a row, since the last opened connection.
    :param bytes_age_s: seconds since the last byte from any runner; None if
        there was none.
    :param probes: number of failed probes among the failures that count.
    :param peers: what the other VMs say of themselves.
    :param since: when the state began, by the clock.
    """

    __slots__ = (
        "failed",
        "failures",
        "bytes_age_s",
        "probes",
        "peers_reaching",
        "peers_isolated",
        "peers_age_s",
        "since",
    )

    def __init__(
        self,
        failed: tuple[str, ...],
        failures: int,
        bytes_age_s: float | None,
        probes: int,
        peers: "PeerWords",
        since: float,
    ) -> None:
        self.failed = failed
        self.failures = failures
        self.bytes_age_s = bytes_age_s
        self.probes = probes
        self.peers_reaching = peers.reaching
        self.peers_isolated = peers.isolated
        self.peers_age_s = peers.age_s
        self.since = since


def age_s(at: float, now: float) -> float | None:
    """Seconds since a time; None if it is minus infinity, for never."""
    return None if at == float("-inf") else now - at
