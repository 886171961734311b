"""What one VM knows of the incarnations that own keys: gone, or replaced.

Ignorance is safe here: an owner that is wrongly taken for gone costs an
``unknown``, one that is wrongly taken for alive costs a forward that fails.
"""

from .. import clock as clocks
from . import messages

RETRY_AFTER_S = 1.0


class Owners:
    """Heirs and deaths of incarnations, remembered for a bounded time.

    :param keep_s: how long a fact may matter, that is, the life of a key.
    """

    __slots__ = ("_clock", "_keep_s", "_newest", "_gone", "_heirs")

    def __init__(self, clock: clocks.Clock, keep_s: float) -> None:
        self._clock = clock
        self._keep_s = keep_s
        self._newest: dict[str, int] = {}
        self._gone: dict[messages.Owner, float] = {}
        self._heirs: dict[messages.Owner, tuple[messages.Owner, float]] = {}

    def alive(self, vm: str, incarnation: int) -> None:
        """Note a live incarnation; all lower ones of the VM are gone."""
        known = self._newest.get(vm, incarnation)
        self._newest[vm] = max(known, incarnation)
        self._gone.pop(messages.Owner(vm, incarnation), None)

    def gone(self, owner: messages.Owner) -> None:
        """Note that an incarnation has left or died."""
        self._gone[owner] = self._clock.now()

    def handed_over(self, owner: messages.Owner, heir: messages.Owner) -> None:
        """Note who took over the whole ledger of an incarnation."""
        self._heirs[owner] = (heir, self._clock.now())

    def is_gone(self, owner: messages.Owner) -> bool:
        """Tell whether an incarnation will answer no more."""
        newest = self._newest.get(owner.vm, owner.incarnation)
        return owner in self._gone or owner.incarnation < newest

    def heir(self, owner: messages.Owner) -> messages.Owner | None:
        """Follow the handovers from an incarnation to the last heir."""
        seen = {owner}
        last = None
        following = self._heirs.get(owner)
        while following is not None and following[0] not in seen:
            last = following[0]
            seen.add(last)
            following = self._heirs.get(last)
        return last

    def route(
        self, owner: messages.Owner, me: messages.Owner, forwarded: bool
    ) -> messages.Forward | messages.Refuse:
        """Decide whom to ask about a key that is not judged here.

        :param forwarded: another VM asked here already.
        """
        heir = self.heir(owner)
        target = heir or owner
        if self.is_gone(target):
            return messages.Refuse(
                messages.Reason.OWNER_GONE, messages.Executed.UNKNOWN
            )
        if target == me or (forwarded and heir is None):
            # Sending it back could go round for ever.
            return moving()
        return messages.Forward(target.vm, target.incarnation)

    def expire(self) -> None:
        """Forget facts about incarnations whose keys have all expired."""
        oldest = self._clock.now() - self._keep_s
        self._gone = {
            owner: at for owner, at in self._gone.items() if at >= oldest
        }
        self._heirs = {
            owner: (heir, at)
            for owner, (heir, at) in self._heirs.items()
            if at >= oldest
        }


def moving() -> messages.Refuse:
    """The refusal while a ledger is on its way to its heir."""
    return messages.Refuse(
        messages.Reason.MOVING, messages.Executed.UNKNOWN, RETRY_AFTER_S
    )
