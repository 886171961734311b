"""Probes that this VM makes on behalf of others."""

from .. import clock as clocks
from ..links import peer_pb2 as pb


class Mediation:
    """One probe for another VM.

    :param origin: who asked.
    :param sequence: the number that the asker gave.
    :param target: the VM probed.
    """

    __slots__ = ("origin", "sequence", "target", "ends_at")

    def __init__(
        self,
        origin: pb.Member,
        sequence: int,
        target: str,
        ends_at: float,
    ) -> None:
        self.origin = origin
        self.sequence = sequence
        self.target = target
        self.ends_at = ends_at


class Mediations:
    """Those in progress, by the number of our own probe.

    :param timeout_s: after that the asker is told that nothing came, early
        enough for it to count as a sign that its own link works.
    """

    __slots__ = ("_clock", "_timeout_s", "_by_sequence")

    def __init__(self, clock: clocks.Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._by_sequence: dict[int, Mediation] = {}

    def begin(
        self, own: int, origin: pb.Member, request: pb.IndirectProbe
    ) -> None:
        """Remember whom to tell about our probe number ``own``."""
        self._by_sequence[own] = Mediation(
            origin,
            request.sequence,
            request.target.vm,
            self._clock.now() + self._timeout_s,
        )

    def acked(self, vm: str, own: int) -> Mediation | None:
        """The target answered our probe."""
        mediation = self._by_sequence.get(own)
        if mediation is None or mediation.target != vm:
            return None
        return self._by_sequence.pop(own)

    def expired(self) -> list[Mediation]:
        """Those whose target did not answer in time."""
        now = self._clock.now()
        late = [s for s, m in self._by_sequence.items() if m.ends_at <= now]
        return [self._by_sequence.pop(sequence) for sequence in late]

    def clear(self) -> None:
        """Forget them all."""
        self._by_sequence.clear()
