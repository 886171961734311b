"""Notices of leaving runners, which VMs repeat in their messages.

A VM that learns from the store or a peer that a runner is leaving or was
removed includes a notice of it in its messages for a few seconds. A receiver
sends the runner no new calls and repeats the notice. The runner's entry is
still fetched, but that depends on one VM and on a link that may be saturated.
"""

import typing

from .. import clock as clocks
from .. import validation

#: Seconds for which a VM repeats a notice. A VM that was suspended or cut off
#: for less time still receives it.
REPEAT_S = 4.0
#: Seconds for which a notice marks a runner, if neither its entry nor a newer
#: one arrives. It is longer than fetches fail in an overloaded fleet, and it
#: limits the harm of a notice with a wrong revision, which no entry exceeds.
MARK_S = 20.0
#: Most notices in a message. Each takes about 40 bytes, so that the notices
#: take a small part of a datagram.
MAX_PER_MESSAGE = 64


class Notice:
    """States that an incarnation of a runner is leaving or was removed.

    :param name: the runner's name in the store.
    :param born: when the incarnation started, in milliseconds since 1970; 0
        if unknown.
    :param revision: the store's revision of the change.
    """

    __slots__ = ("name", "born", "revision")

    def __init__(self, name: str, born: int, revision: int) -> None:
        self.name = name
        self.born = born
        self.revision = revision

    @property
    def incarnation(self) -> tuple[str, int]:
        """The name and the start, which identify the incarnation."""
        return self.name, self.born

    def to_record(self) -> "Record":
        """Encode as a tuple of the fields, to be sent to peers."""
        return self.name, self.born, self.revision


#: A notice as it is sent: the values of its fields, in order.
Record = tuple[str, int, int]
_is_record = validation.is_tuple_of(
    validation.is_non_empty_string,
    validation.is_non_negative_int,
    validation.is_non_negative_int,
)


def is_notices(value: typing.Any) -> bool:
    """Whether a value that a peer sent is a list of notices."""
    return (
        validation.is_list_of(_is_record)(value)
        and len(value) <= MAX_PER_MESSAGE
    )


class RunnerStates(typing.Protocol):
    """What this VM knows of the runners, for :class:`NoticeBoard`."""

    def take_notices(self) -> list[Notice]:
        """Take the notices of runners that entries showed to be leaving."""

    def is_applicable(self, notice: Notice) -> bool:
        """Whether a notice tells something new of a known incarnation."""

    def is_outdated(self, notice: Notice) -> bool:
        """Whether a newer entry shows that the runner takes work again."""


class _KnownNotice:
    """A notice and the time at which this VM learned of it."""

    __slots__ = ("notice", "since")

    def __init__(self, notice: Notice, since: float) -> None:
        self.notice = notice
        self.since = since


class NoticeBoard:
    """Decides which notices one VM applies, and which it sends.

    An applied notice is remembered for as long as it marks a runner.
    Otherwise VMs would repeat a notice to each other without end. Without
    :meth:`connect` there are no notices.
    """

    __slots__ = ("_clock", "_known", "_runners")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._runners: RunnerStates | None = None
        #: Notices by incarnation, those learned last at the end.
        self._known: dict[tuple[str, int], _KnownNotice] = {}

    def connect(self, runners: RunnerStates) -> None:
        """Start to exchange notices of the runners known to this VM."""
        self._runners = runners

    def _add(self, notice: Notice) -> bool:
        """Add a notice to those that are sent.

        :returns: whether it is new: no notice of the incarnation with this or
            a higher revision is known.
        """
        self._drop_expired()
        known = self._known.get(notice.incarnation)
        if known is not None and known.notice.revision >= notice.revision:
            return False
        self._known.pop(notice.incarnation, None)
        self._known[notice.incarnation] = _KnownNotice(
            notice, self._clock.now()
        )
        return True

    def receive(self, records: typing.Iterable[Record]) -> list[Notice]:
        """Select the notices in a message of a peer that are to be applied.

        The others are not remembered: a notice of a runner that this VM does
        not know yet applies once it does.

        :returns: the notices to apply, which are sent from now on, too.
        """
        runners = self._runners
        if runners is None:
            return []
        return [
            notice
            for notice in (Notice(*record) for record in records)
            if runners.is_applicable(notice) and self._add(notice)
        ]

    def due(self) -> list[Record]:
        """The notices to include in a message, newest first."""
        if self._runners is None:
            return []
        for notice in self._runners.take_notices():
            self._add(notice)
        since = self._clock.now() - REPEAT_S
        recent: list[Record] = []
        for known in reversed(self._known.values()):
            if known.since <= since or len(recent) == MAX_PER_MESSAGE:
                break
            if not self._runners.is_outdated(known.notice):
                recent.append(known.notice.to_record())
        return recent

    def _drop_expired(self) -> None:
        since = self._clock.now() - MARK_S
        for incarnation, known in list(self._known.items()):
            if known.since > since:
                break
            del self._known[incarnation]
