"""A runner as the platform lists it, and entries that name none."""

import typing

from .. import validation


class Unreadable:
    """An entry from which no runner to use can be read.

    Another program may have written it, or it was spoiled. If a runner is
    known by its name, that one gets no new work until its entry can be read
    again.

    :param name: of the entry.
    :param revision: the store's, of the last change of the entry.
    :param reason: what is wrong, for the log.
    """

    __slots__ = ("name", "revision", "reason")

    def __init__(self, name: str, revision: int, reason: str) -> None:
        self.name = name
        self.revision = revision
        self.reason = reason


class Runner:
    """One incarnation of a runner.

    :param name: under which it is listed; kept when it starts again.
    :param leaving: it takes no new work.
    :param leaves_s: how long it serves on; None if unsaid.
    :param reclaimable: it may be taken away at short notice.
    :param revision: the store's, of the last change of the entry.
    :param born: when it started, in milliseconds since 1970; 0 if unsaid.
    :param sequence: of its heartbeat; begins anew with each start.
    :param withdrawn: its entry can't be read any more, and what was read
        before stands here. It takes no new work; its calls go on.
    :param version: of its software; "" if unknown.
    """

    __slots__ = (
        "name",
        "service",
        "host",
        "port",
        "data_centre",
        "concurrency",
        "leaving",
        "leaves_s",
        "reclaimable",
        "revision",
        "born",
        "sequence",
        "withdrawn",
        "version",
        "runner_id",
    )

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        port: int,
        data_centre: str,
        concurrency: int,
        leaving: bool = False,
        leaves_s: float | None = None,
        reclaimable: bool = False,
        revision: int = 0,
        born: int = 0,
        sequence: int = 0,
        withdrawn: bool = False,
        version: str = "",
    ) -> None:
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.data_centre = data_centre
        self.concurrency = concurrency
        self.leaving = leaving
        self.leaves_s = leaves_s
        self.reclaimable = reclaimable
        self.revision = revision
        self.born = born
        self.sequence = sequence
        self.withdrawn = withdrawn
        self.version = version
        #: Tells incarnations apart. Whatever is kept of a runner is kept
        #: under it: one that starts again under its name holds no cache and
        #: none of the calls, and has none of the failures, of before.
        self.runner_id = f"{name}@{born}" if born else name

    @property
    def address(self) -> str:
        """``host:port``."""
        return f"{self.host}:{self.port}"

    @property
    def unread(self) -> bool:
        """Whether it stands for an entry that could never be read."""
        return not self.service

    @property
    def believed(self) -> str:
        """Equal where two VMs believe the same of a runner."""
        if self.withdrawn:
            # A VM that has never read the entry knows no start.
            return f"{self.name}!"
        return f"{self.runner_id}{int(self.leaving)}"

    def withdraw(self, revision: int) -> "Runner":
        """The runner when its entry has become unreadable."""
        record = self.to_record()
        known = Runner.from_record(record)
        known.leaving = known.withdrawn = True
        known.revision = revision
        return known

    def to_record(self) -> list[typing.Any]:
        """The fields in order, for another entry VM."""
        return [getattr(self, name) for name, _ in _FIELDS]

    @classmethod
    def from_record(cls, record: typing.Any) -> "Runner":
        """The reverse of :meth:`to_record`.

        :raises shapes.Misshapen: when it is no such record.
        """
        return cls(*validation.validate_record(_FIELDS, record))

    @classmethod
    def never_read(cls, name: str, revision: int) -> "Runner":
        """Stands for an entry that was unreadable from the first."""
        return cls(
            name, "", "", 0, "", 0, True, revision=revision, withdrawn=True
        )


#: What each field of a peer's record has to be, in order.
_FIELDS: tuple[tuple[str, validation.Predicate], ...] = (
    ("name", validation.is_non_empty_string),
    ("service", validation.is_string),
    ("host", validation.is_string),
    ("port", validation.is_non_negative_int),
    ("data_centre", validation.is_string),
    ("concurrency", validation.is_non_negative_int),
    ("leaving", validation.is_bool),
    ("leaves_s", validation.is_none_or(validation.is_non_negative_number)),
    ("reclaimable", validation.is_bool),
    ("revision", validation.is_non_negative_int),
    ("born", validation.is_non_negative_int),
    ("sequence", validation.is_non_negative_int),
    ("withdrawn", validation.is_bool),
    ("version", validation.is_string),
)

#: What an entry of the store says.
Entry = Runner | Unreadable
