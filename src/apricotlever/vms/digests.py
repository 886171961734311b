"""What an entry VM tells the others of itself, several times a second.

A record carries counters that only have to be told often and may be lost at
times, and addresses that its VM knows, so that a newcomer that reaches one VM
is soon known to all.
"""

import typing

from .. import shapes
from ..roll_outs import model as roll_outs_model
from ..roll_outs import samples
from ..runners import culprits

#: Between two records, in seconds. Limits kept by counting overshoot by
#: what is let in meanwhile.
INTERVAL_S = 0.2
#: Records of which one carries all, the first of a process among them.
WHOLE_EVERY = 5


class Digest:
    """One VM's record.

    Fields that are empty tell nothing; levels, failures and known addresses
    stand in one of :data:`WHOLE_EVERY` records only.

    :param vm: its name.
    :param incarnation: of its process, rises with each start.
    :param number: rises with each record.
    :param peer_address: where it hears the others, ``host:port``.
    :param caller_address: where it hears callers, ``host:port``.
    :param ready: whether it takes callers' calls.
    :param leaving: whether it is about to end.
    :param follows: whether it follows the store itself, with success.
    :param configuration: the version in force there.
    :param directory: the revision of its newest news of a runner.
    :param runners: a checksum of the runners that it believes to live.
    :param in_flight: its calls at each runner.
    :param pending: prompt tokens that wait for it at each runner.
    :param used: units it let in, by customer.
    :param levels: units left of each customer's limit, as it knows.
    :param usage: its counts for usage reports, by window and customer.
    :param work: tokens read for it, a runner's speed and the part of their
        objective that first answers took, by service.
    :param silent: runners from which it hears nothing.
    :param failures: its failed and all calls, by runner.
    :param reported: the newest window that is known to be reported.
    :param known: peer addresses of other members.
    :param crashes: what it tells of crashed runners; None for nothing.
    :param gave_up: the fencing number of the fleet's duties that it has just
        handed over, as it can't reach the store; 0 for none.
    :param lease: version and fencing number of the lease on the fleet's
        duties while it holds that.
    :param limits_port: where it is asked of limits; 0 for nowhere.
    :param aggregator: the VM that it wants to tell the others of it; "" for
        none, so that it tells them itself.
    :param hears: how many other VMs it hears.
    :param roll_outs: records of the roll-out orders known to it.
    :param trials: its own counts of calls at old and new versions.
    """

    __slots__ = (
        "vm",
        "incarnation",
        "number",
        "peer_address",
        "caller_address",
        "data_centre",
        "ready",
        "leaving",
        "follows",
        "configuration",
        "directory",
        "runners",
        "in_flight",
        "pending",
        "used",
        "levels",
        "usage",
        "work",
        "silent",
        "failures",
        "reported",
        "known",
        "crashes",
        "gave_up",
        "lease",
        "limits_port",
        "aggregator",
        "hears",
        "roll_outs",
        "trials",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        number: int,
        peer_address: str,
        caller_address: str,
        data_centre: str,
        ready: bool = False,
        leaving: bool = False,
        follows: bool = False,
        configuration: int = 0,
        directory: int = 0,
        runners: int = 0,
        in_flight: dict[str, int] | None = None,
        pending: dict[str, int] | None = None,
        used: dict[str, float] | None = None,
        levels: dict[str, float] | None = None,
        usage: dict[int, dict[str, int]] | None = None,
        work: dict[str, tuple[int, float, float]] | None = None,
        silent: list[str] | None = None,
        failures: dict[str, tuple[int, int]] | None = None,
        reported: int = 0,
        known: list[str] | None = None,
        crashes: culprits.Told | None = None,
        gave_up: int = 0,
        lease: tuple[int, int] | None = None,
        limits_port: int = 0,
        aggregator: str = "",
        hears: int = 0,
        roll_outs: list[list[typing.Any]] | None = None,
        trials: samples.Records | None = None,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.number = number
        self.peer_address = peer_address
        self.caller_address = caller_address
        self.data_centre = data_centre
        self.ready = ready
        self.leaving = leaving
        self.follows = follows
        self.configuration = configuration
        self.directory = directory
        self.runners = runners
        self.in_flight = in_flight or {}
        self.pending = pending or {}
        self.used = used or {}
        self.levels = levels or {}
        self.usage = usage or {}
        self.work = work or {}
        self.silent = silent or []
        self.failures = failures or {}
        self.reported = reported
        self.known = known or []
        self.crashes = crashes
        self.gave_up = gave_up
        self.lease = lease
        self.limits_port = limits_port
        self.aggregator = aggregator
        self.hears = hears
        self.roll_outs = roll_outs or []
        self.trials = trials or {}

    @property
    def limits_address(self) -> tuple[str, int] | None:
        """Where it is asked of limits."""
        if not self.limits_port:
            return None
        return self.peer_address.rpartition(":")[0], self.limits_port

    @property
    def process(self) -> str:
        """Names the process and not only the VM."""
        return f"{self.vm}#{self.incarnation}"

    def supersedes(self, other: "Digest") -> bool:
        """Whether it is a later record of the same VM."""
        return (self.incarnation, self.number) > (
            other.incarnation,
            other.number,
        )

    def rare(self) -> "Digest":
        """A copy without what is summed up where VMs are told of many."""
        copy = Digest(*self.to_record())
        copy.in_flight, copy.pending, copy.failures = {}, {}, {}
        copy.levels, copy.usage, copy.work = {}, {}, {}
        copy.silent, copy.known, copy.aggregator = [], [], ""
        copy.used, copy.trials = {}, {}
        return copy

    def differs(self, other: "Digest", versions: bool) -> bool:
        """Whether it tells other things of its VM than another record.

        What any record changes, or is told in another way, does not count.

        :param versions: whether it counts how new its VM's knowledge is.
        """
        names = _LASTING + _VERSIONS if versions else _LASTING
        return any(
            getattr(self, name) != getattr(other, name) for name in names
        )

    def to_record(self) -> list[typing.Any]:
        """The fields in order."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_record(cls, record: typing.Any) -> "Digest":
        """The reverse of :meth:`to_record`.

        :raises shapes.Misshapen: when it is no such record.
        """
        return cls(*shapes.checked_record(_FIELDS, record))


#: Fields of which a change is news.
_LASTING = (
    "incarnation",
    "ready",
    "leaving",
    "follows",
    "reported",
    "gave_up",
    "lease",
    "limits_port",
    "roll_outs",
)
_VERSIONS = ("configuration", "directory", "runners")
_TEXT_TO_COUNT = shapes.is_map(shapes.is_text, shapes.is_whole)
_TEXT_TO_UNITS = shapes.is_map(shapes.is_text, shapes.is_finite)
is_usage = shapes.is_map(shapes.is_whole, _TEXT_TO_COUNT)
is_work = shapes.is_map(
    shapes.is_text,
    shapes.is_row(shapes.is_whole, shapes.is_number, shapes.is_number),
)
#: What each field of a record has to be, in order. A record of another form
#: would fail where its figures are used, in a task that many calls need.
_FIELDS: tuple[tuple[str, shapes.Check], ...] = (
    ("vm", shapes.is_text),
    ("incarnation", shapes.is_whole),
    ("number", shapes.is_whole),
    ("peer_address", shapes.is_address),
    ("caller_address", shapes.is_any_text),
    ("data_centre", shapes.is_any_text),
    ("ready", shapes.is_flag),
    ("leaving", shapes.is_flag),
    ("follows", shapes.is_flag),
    ("configuration", shapes.is_whole),
    ("directory", shapes.is_whole),
    ("runners", shapes.is_whole),
    ("in_flight", _TEXT_TO_COUNT),
    ("pending", _TEXT_TO_COUNT),
    ("used", _TEXT_TO_UNITS),
    ("levels", _TEXT_TO_UNITS),
    ("usage", is_usage),
    ("work", is_work),
    ("silent", shapes.is_list(shapes.is_text)),
    (
        "failures",
        shapes.is_map(
            shapes.is_text, shapes.is_row(shapes.is_whole, shapes.is_whole)
        ),
    ),
    ("reported", shapes.is_whole),
    ("known", shapes.is_list(shapes.is_address)),
    ("crashes", shapes.is_none_or(culprits.is_told)),
    ("gave_up", shapes.is_whole),
    (
        "lease",
        shapes.is_none_or(shapes.is_row(shapes.is_whole, shapes.is_whole)),
    ),
    ("limits_port", shapes.is_whole),
    ("aggregator", shapes.is_any_text),
    ("hears", shapes.is_whole),
    ("roll_outs", shapes.is_list(roll_outs_model.is_order)),
    ("trials", samples.is_records),
)
