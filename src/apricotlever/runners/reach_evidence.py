"""What a VM knows that shows which runners it reaches."""


class Evidence:
    """On what a state rests.

    :param failed: IDs of runners to which connections failed lately, sorted.
    :param failures: failures in a row, since the last opened connection.
    :param bytes_age_s: seconds since the last byte from any runner; None if
        there was none.
    :param probes: number of failed probes among the failures that count.
    :param peers_reaching: number of peers that say they reach runners.
    :param peers_isolated: number of peers that say they are isolated.
    :param peers_age_s: age of what the peers say, in seconds; None if nothing
        is known of peers.
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
        peers_reaching: int,
        peers_isolated: int,
        peers_age_s: float | None,
        since: float,
    ) -> None:
        self.failed = failed
        self.failures = failures
        self.bytes_age_s = bytes_age_s
        self.probes = probes
        self.peers_reaching = peers_reaching
        self.peers_isolated = peers_isolated
        self.peers_age_s = peers_age_s
        self.since = since


def age_s(at: float, now: float) -> float | None:
    """Seconds since a time; None if it is minus infinity, for never."""
    return None if at == float("-inf") else now - at
