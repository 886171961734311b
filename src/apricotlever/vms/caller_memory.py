"""How much of a VM's memory its callers hold, and who gives way.

Each call is bounded by itself; this bounds the sum of what is read, queued,
run and unsent over all connections of a process. Costs are counted as objects
in memory, not as bytes on the wire.
"""

import collections
import enum
import typing

#: Part of the machine's memory that callers may hold. The rest is for the
#: process itself, runners, the store, other VMs and the allocator's gaps.
CALLERS_SHARE = 0.4
#: Part of it that responses may hold, from their reading to their sending.
RESPONSES_SHARE = 0.25
#: Part of CALLERS_SHARE which calls may hold that aren't small, so that small
#: ones find room beside any number of others.
LARGE_SHARE = 0.75
#: Upper limit of a small call, in bytes.
SMALL_BYTES = 65536
#: Part to which the sum is brought down once somebody has to give way, so that
#: the next one isn't sought at once.
LOW_SHARE = 0.9
#: Memory of a connection, of a call and of each line of its head, in bytes
#: beside the text.
CONNECTION_BYTES = 4096
CALL_BYTES = 1024
LINE_BYTES = 160
#: How often the body of a complete call is held: as it was read, and on the
#: way to a runner.
BODY_COPIES = 2


class Stage(enum.IntEnum):
    """What a connection holds memory for, the first to give way first."""

    #: A call that isn't read to its end: it has not run.
    UNFINISHED = 0
    #: Calls that wait behind another one of their connection.
    QUEUED = 1
    #: A response that its caller doesn't read.
    UNREAD = 2
    #: A call that is being answered, or nothing.
    ACTIVE = 3


#: The names of the stages whose connections give way.
GIVING_WAY = [
    stage.name.lower() for stage in Stage if stage is not Stage.ACTIVE
]


class Holder(typing.Protocol):
    """A connection of a caller."""

    @property
    def held_bytes(self) -> int:
        """Memory that it holds and that giving way would free."""

    @property
    def stage(self) -> Stage:
        """What it holds it for."""

    def give_way(self) -> None:
        """Free that memory."""


class CallerMemory:
    """The account of one process.

    :param machine_bytes: memory of the machine; 0 if it isn't known, which
        bounds nothing.
    """

    __slots__ = (
        "_holders",
        "_limit",
        "_used",
        "gave_way",
        "peak",
        "refused",
        "response_limit",
        "unsent",
    )

    def __init__(self, machine_bytes: int = 0) -> None:
        self._limit = int(CALLERS_SHARE * machine_bytes)
        self._holders: set[Holder] = set()
        self._used = 0
        #: What responses may hold, in bytes; 0 for no limit.
        self.response_limit = int(RESPONSES_SHARE * machine_bytes)
        #: Bytes of responses that callers have not taken.
        self.unsent = 0
        #: The most that was held, in bytes.
        self.peak = 0
        #: How many connections gave way, by the name of their stage.
        self.gave_way: collections.Counter[str] = collections.Counter()
        #: How many complete calls were refused for want of memory.
        self.refused = 0

    @property
    def used(self) -> int:
        """What callers hold, in bytes."""
        return self._used

    @property
    def metrics(self) -> dict[str, float]:
        """Values for the metrics, by name."""
        return {
            "caller_memory_bytes": self._used,
            "caller_memory_peak_bytes": self.peak,
            "caller_memory_limit_bytes": self._limit,
            "caller_unsent_bytes": self.unsent,
            "caller_memory_refused_total": self.refused,
            **{
                f"callers_gave_way_{stage}_total": self.gave_way[stage]
                for stage in GIVING_WAY
            },
        }

    @property
    def limit(self) -> int:
        """What they may hold, in bytes; 0 for no limit."""
        return self._limit

    def add(self, holder: Holder) -> None:
        """Add an open connection."""
        self._holders.add(holder)
        self.change(CONNECTION_BYTES)

    def remove(self, holder: Holder) -> None:
        """Remove a connection; what it holds is released apart from that."""
        if holder in self._holders:
            self._holders.remove(holder)
            self.change(-CONNECTION_BYTES)

    def change(self, count: int) -> None:
        """Count memory that is held, or released if it is negative."""
        self._used += count
        self.peak = max(self.peak, self._used)

    def admits(self, cost: int) -> bool:
        """Whether a complete call finds room, or gets some from others.

        :param cost: what the call holds, in bytes, not yet counted.
        """
        if not self._limit:
            return True
        share = 1.0 if cost <= SMALL_BYTES else LARGE_SHARE
        limit = int(share * self._limit)
        if self._used + cost > limit:
            self._make_room(int(LOW_SHARE * limit) - cost)
        if self._used + cost > limit:
            self.refused += 1
            return False
        return True

    def check(self) -> None:
        """Let connections give way while more is held than allowed."""
        if self._limit and self._used > self._limit:
            self._make_room(int(LOW_SHARE * self._limit))

    def drop_unread(self) -> None:
        """Let the largest response go that its caller doesn't read."""
        unread = [h for h in self._holders if h.stage is Stage.UNREAD]
        if unread:
            self.gave_way[Stage.UNREAD.name.lower()] += 1
            max(unread, key=lambda holder: holder.held_bytes).give_way()

    def _make_room(self, target: int) -> None:
        """Let connections give way, the largest of the first stage first.

        :param target: in bytes.
        """
        by_stage: dict[Stage, list[tuple[int, Holder]]] = {}
        for holder in self._holders:
            held = holder.held_bytes
            if held:
                by_stage.setdefault(holder.stage, []).append((held, holder))
        for stage in sorted(by_stage):
            if stage >= Stage.UNREAD:
                return
            for _, holder in sorted(
                by_stage[stage], key=lambda each: -each[0]
            ):
                if self._used <= target:
                    return
                self.gave_way[stage.name.lower()] += 1
                holder.give_way()
