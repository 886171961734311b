"""How a runner of a soak test that is fragile takes and rejects calls.

All times are seconds on the clock of the caller.
"""

import collections
import typing

#: The span in which rejections are counted, in seconds.
REJECTIONS_SPAN_S = 1.0
#: From this time after a VM was first told that a runner is fragile, the
#: runner may take fewer calls at a time.
ROOM_KEPT_S = 3.0
#: How long a runner that fell over refuses connections.
FALL_S = 2.0
#: The value of the header Later-Room for half of what then runs.
HALF = "half"


class Fragility:
    """A time in which a runner is fragile.

    :param rejections_per_s: how many calls a second the runner can reject
        without falling over.
    :param later_room: how many calls it takes at a time later on; None for
        half of those that run then.
    :param sound_after_fall: whether the time ends with a fall.
    :param until: the end of the time.
    """

    __slots__ = (
        "rejections_per_s",
        "until",
        "_later_room",
        "_sound_after_fall",
        "_told_at",
        "_rejected_at",
    )

    def __init__(
        self,
        rejections_per_s: int,
        later_room: int | None,
        sound_after_fall: bool,
        until: float,
    ) -> None:
        self.rejections_per_s = rejections_per_s
        self.until = until
        self._later_room = later_room
        self._sound_after_fall = sound_after_fall
        self._told_at: float | None = None
        self._rejected_at: collections.deque[float] = collections.deque()

    def tell(self, now: float) -> None:
        """Note that a VM is told."""
        if self._told_at is None:
            self._told_at = now

    def room(self, now: float, running: int, sound_room: int) -> int:
        """How many calls the runner takes at a time.

        :param running: how many it runs.
        :param sound_room: how many it takes while it is sound.
        """
        if self._told_at is None or now < self._told_at + ROOM_KEPT_S:
            return sound_room
        if self._later_room is None:
            self._later_room = max(1, running // 2)
        return self._later_room

    def reject(self, now: float) -> bool:
        """Note that a call is rejected for want of room.

        :returns: whether the runner falls over by it.
        """
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - REJECTIONS_SPAN_S:
            self._rejected_at.popleft()
        return len(self._rejected_at) > self.rejections_per_s

    def fall(self, now: float) -> None:
        """Note that the runner fell over."""
        self._rejected_at.clear()
        if self._sound_after_fall:
            self.until = now


def read_fragility(
    headers: typing.Mapping[str, str], now: float
) -> Fragility | None:
    """Read what a runner is ordered to say; None if it isn't fragility.

    :param headers: by their names in small letters.
    """
    rejections = headers.get("rejections-per-s")
    if rejections is None:
        return None
    room = headers["later-room"]
    return Fragility(
        int(rejections),
        None if room == HALF else int(room),
        headers["after-fall"] == "sound",
        now + float(headers["for-s"]),
    )
