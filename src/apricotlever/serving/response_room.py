"""Room for whole responses of runners, until their callers have taken them.

A whole response is read to its end before its caller gets any of it. Large
ones wait for room in the order in which they come; meanwhile nothing more of
them is read, so that their runners wait.
"""

import asyncio

from ..vms import caller_memory

#: Bytes of a response that need no room.
FREE_BYTES = 65536
#: Time between two looks whether there is room, in seconds.
LOOK_S = 0.05


class ResponseRoom:
    """The room of one process.

    :param memory: counts what callers don't take.
    """

    __slots__ = ("_memory", "_reserved", "_turn", "waits")

    def __init__(
        self, memory: caller_memory.CallerMemory | None = None
    ) -> None:
        self._memory = memory or caller_memory.CallerMemory()
        self._reserved = 0
        #: Held by the response whose turn it is.
        self._turn = asyncio.Lock()
        #: How many responses had to wait.
        self.waits = 0

    async def reserve(self, size: int) -> None:
        """Wait until a response of a size has room.

        One has it in any case while there is no other.
        """
        async with self._turn:
            if not self._fits(size):
                self.waits += 1
            while not self._fits(size):
                self._memory.drop_unread()
                await asyncio.sleep(LOOK_S)
            self._reserved += size

    def release(self, size: int) -> None:
        """Give room back."""
        self._reserved -= size

    def _fits(self, size: int) -> bool:
        limit = self._memory.response_limit
        held = self._reserved + self._memory.unsent
        return not limit or not held or held + size <= limit


class Reservation:
    """The room that the response of one call has."""

    __slots__ = ("_room", "_size")

    def __init__(self, room: ResponseRoom) -> None:
        self._room = room
        self._size = 0

    async def grow(self, size: int) -> None:
        """Wait until there is room for a response of a size.

        :param size: in bytes; what an attempt before had is given back.
        """
        self.release()
        await self._room.reserve(size)
        self._size = size

    def release(self) -> None:
        """Give the room back."""
        size, self._size = self._size, 0
        self._room.release(size)
