"""Indirect probes that this VM performs at the request of other VMs."""

from .. import clock as clocks
from ..links import peer_pb2 as pb


class RelayedProbe:
    """A probe that this VM performs for another VM.

    :param origin: the VM that requested the probe.
    :param sequence: the requester's sequence number.
    :param target: the VM to probe.
    :param ends_at: when the probe times out, on the local monotonic clock.
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


class RelayedProbes:
    """Relayed probes in progress, by this VM's own sequence number.

    :param timeout_s: when the target has not answered after this many
        seconds, the requester gets a negative answer. That answer must arrive
        before the requester's probe ends: it shows that the requester's own
        link works.
    """

    __slots__ = ("_clock", "_timeout_s", "_by_own_sequence")

    def __init__(self, clock: clocks.Clock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._by_own_sequence: dict[int, RelayedProbe] = {}

    def begin(
        self, own_sequence: int, origin: pb.Member, request: pb.IndirectProbe
    ) -> None:
        """Register a probe that another VM has requested.

        :param own_sequence: the number of this VM's probe of the target.
        :param origin: the VM that requested the probe.
        :param request: names the target and the requester's own number.
        """
        self._by_own_sequence[own_sequence] = RelayedProbe(
            origin,
            request.sequence,
            request.target.vm,
            self._clock.now() + self._timeout_s,
        )

    def acked(self, vm: str, own_sequence: int) -> RelayedProbe | None:
        """Remove the relayed probe that a VM's ack belongs to.

        :returns: the probe; None when the ack belongs to none of them.
        """
        relayed = self._by_own_sequence.get(own_sequence)
        if relayed is None or relayed.target != vm:
            return None
        return self._by_own_sequence.pop(own_sequence)

    def expired(self) -> list[RelayedProbe]:
        """Remove and return the probes whose target did not answer in time."""
        now = self._clock.now()
        late = [
            own_sequence
            for own_sequence, relayed in self._by_own_sequence.items()
            if relayed.ends_at <= now
        ]
        return [self._by_own_sequence.pop(sequence) for sequence in late]

    def clear(self) -> None:
        """Drop all relayed probes without answering their requesters."""
        self._by_own_sequence.clear()
