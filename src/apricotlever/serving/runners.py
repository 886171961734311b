"""Runners as listed in the platform's store, and unreadable entries.

A runner is a server process that runs calls of one service. Its entry is the
object in the store that describes it, under the runner's name. An incarnation
is one start of a runner: after a restart, the name is the same and the
incarnation another.
"""

import typing

from .. import validation
from ..runners import model as models


class UnreadableEntry:
    """An entry in the store that does not describe a usable runner.

    Another program may have written the entry, or it was corrupted. A known
    runner with the same name gets no new work until its entry is readable
    again.

    :param name: the entry's name.
    :param revision: the store's revision of the last change of the entry.
    :param reason: what is wrong with the entry, for the log.
    """

    __slots__ = ("name", "revision", "reason")

    def __init__(self, name: str, revision: int, reason: str) -> None:
        self.name = name
        self.revision = revision
        self.reason = reason


class Runner:
    """One incarnation of a runner, as its entry in the store describes it.

    :param name: the name in the store; a restarted runner keeps it.
    :param concurrency: the number of calls that it serves at the same time.
    :param leaving: whether it has stopped accepting new work.
    :param leaves_s: how long it still serves, in seconds; None if unknown.
    :param reclaimable: whether the cloud may reclaim it at short notice.
    :param revision: the store's revision of the last change of the entry.
    :param born: when it started, in milliseconds since 1970; 0 if unknown.
    :param sequence: the number of its last heartbeat; each start resets it.
    :param withdrawn: whether its entry has become unreadable. The other
        fields are then those last read; the runner gets no new work, and its
        calls continue.
    :param version: the version of its software; "" if unknown.
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
        #: Identifies the incarnation. All state about a runner is stored
        #: under this key: a runner that restarts under the same name has
        #: none of the cache, calls and failures of the previous process.
        self.runner_id = f"{name}@{born}" if born else name

    @property
    def address(self) -> str:
        """The runner's address, as ``host:port``."""
        return f"{self.host}:{self.port}"

    @property
    def origin(self) -> models.StreamOrigin:
        """The origin of the streams that begin at this runner."""
        return models.StreamOrigin(self.service, self.version)

    @property
    def is_placeholder(self) -> bool:
        """Whether nothing is known of the runner but its name.

        Its entry has never been readable.
        """
        return not self.service

    @property
    def state_key(self) -> str:
        """Text that is equal on two VMs that know the same of a runner.

        It covers the incarnation, its version, and whether the runner is
        leaving or withdrawn.
        """
        if self.withdrawn:
            # The start is left out: a VM that has never read the entry does
            # not know it.
            return f"{self.name}!"
        return f"{self.runner_id}{int(self.leaving)}{self.version}"

    def withdraw(self, revision: int) -> "Runner":
        """A copy of this runner after its entry has become unreadable.

        The copy is marked as withdrawn and leaving.

        :param revision: the store's revision of the unreadable entry.
        """
        known = self.as_leaving()
        known.withdrawn = True
        known.revision = revision
        return known

    def as_leaving(self) -> "Runner":
        """A copy of this runner that is marked as leaving."""
        copy = Runner.from_record(self.to_record())
        copy.leaving = True
        return copy

    def to_record(self) -> list[typing.Any]:
        """The values of all fields in order, to send to another entry VM."""
        return [getattr(self, name) for name, _ in _FIELDS]

    @classmethod
    def from_record(cls, record: typing.Any) -> "Runner":
        """Create a runner from the result of :meth:`to_record`.

        :raises validation.Misshapen: if the record is invalid.
        """
        return cls(*validation.validate_record(_FIELDS, record))

    @classmethod
    def placeholder(cls, name: str, revision: int) -> "Runner":
        """A runner of which only the name is known.

        It stands for an entry that has never been readable.
        """
        return cls(
            name, "", "", 0, "", 0, True, revision=revision, withdrawn=True
        )


def _is_name_or_empty(value: typing.Any) -> bool:
    """Whether a value is a name, or "" as a placeholder has."""
    return value == "" or validation.is_name(value)


#: The fields of :meth:`Runner.to_record` in order, each with the check of a
#: value that a peer sent.
_FIELDS: tuple[tuple[str, validation.Predicate], ...] = (
    ("name", validation.is_name),
    ("service", _is_name_or_empty),
    ("host", _is_name_or_empty),
    ("port", validation.is_non_negative_int),
    ("data_centre", _is_name_or_empty),
    ("concurrency", validation.is_non_negative_int),
    ("leaving", validation.is_bool),
    ("leaves_s", validation.is_none_or(validation.is_non_negative_number)),
    ("reclaimable", validation.is_bool),
    ("revision", validation.is_non_negative_int),
    ("born", validation.is_non_negative_int),
    ("sequence", validation.is_non_negative_int),
    ("withdrawn", validation.is_bool),
    ("version", _is_name_or_empty),
)

#: What was read from a runner's entry in the store.
RunnerEntry = Runner | UnreadableEntry
