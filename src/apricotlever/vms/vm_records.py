"""Status records that each entry VM sends to its peers several times a second.

A record carries counters, of which single updates may be lost, as they are
sent often. It also carries peer addresses known to its VM, so that a new VM
that reaches one peer is soon known to all.
"""

import typing

from .. import validation
from ..roll_outs import model as roll_outs_model
from ..roll_outs import samples as trial_samples
from ..runners import crash_records

from . import notices as notices_
from . import shared_samples

#: Seconds between two records. Limits that are enforced by counters overshoot
#: by what is admitted in this time.
RECORD_INTERVAL_S = 0.2
#: One record in this many is a full one, starting with the first of a process.
FULL_RECORD_EVERY = 5
#: How many of the last fields of a record are left out while they are empty.
OPTIONAL_FIELDS = 4


class VmRecord:
    """Status record of one VM: its state, loads, counts and versions.

    An empty field carries no information. ``levels``, ``failures``,
    ``known`` and ``samples`` are filled in only in full records, one in
    :data:`FULL_RECORD_EVERY`.

    :param vm: name of the VM.
    :param incarnation: incarnation of its process; rises with each start.
    :param number: sequence number of the record in that process.
    :param peer_address: where the VM receives messages of peers,
        ``host:port``.
    :param caller_address: where the VM receives calls, ``host:port``.
    :param data_centre: data centre of the VM.
    :param ready: whether the VM takes calls of callers.
    :param leaving: whether the VM is about to end.
    :param follows: whether the VM follows the store itself, with success.
    :param configuration: version of the configuration in force there.
    :param directory: newest revision in its directory of runners.
    :param runners: checksum of the runners that the VM considers alive.
    :param in_flight: number of its calls in flight at each runner.
    :param pending: waiting prompt tokens of its calls at each runner.
    :param used: totals, by customer, of the units of the customer's limit that
        the VM has admitted since its process started.
    :param levels: units left of each customer's limit, as known to the VM.
    :param usage: its counts for usage reports, by window and customer.
    :param work: prompt tokens that runners have read for the VM, speed of a
        runner, and part of their objective that first answers took, by
        service.
    :param silent: runners that the VM finds silent: calls wait there, and
        none receives any data.
    :param failures: its counts of failed calls and of all calls, by runner.
    :param reported: newest usage window known to be reported.
    :param known: peer addresses of other members.
    :param crashes: its report of crashed runners; None for no report.
    :param gave_up: fencing number of the fleet's duties that the VM has just
        released, as it can't reach the store; 0 for none.
    :param lease: version and fencing number of the lease on the fleet's duties
        while the VM holds it.
    :param limits_port: port on which the VM answers questions about limits; 0
        for none.
    :param aggregator: VM chosen to pass the record on; "" if the VM sends its
        records to all peers itself.
    :param hears: number of other VMs that are alive as known to the VM.
    :param roll_outs: records of the roll-out orders known to the VM.
    :param trials: its own counts of calls at old and new versions.
    :param samples: what it has counted since its last full record.
    :param notices: what it has learned of leaving runners in the last seconds.
    :param refused: runners that have just refused a connection of the VM.
    :param isolated: whether the VM reaches no runner, or none by a new
        connection.
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
        "samples",
        "notices",
        "refused",
        "isolated",
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
        crashes: crash_records.CrashRecord | None = None,
        gave_up: int = 0,
        lease: tuple[int, int] | None = None,
        limits_port: int = 0,
        aggregator: str = "",
        hears: int = 0,
        roll_outs: list[list[typing.Any]] | None = None,
        trials: trial_samples.Records | None = None,
        samples: shared_samples.Samples | None = None,
        notices: list[notices_.Record] | None = None,
        refused: list[str] | None = None,
        isolated: bool = False,
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
        self.samples = samples or {}
        self.notices = notices or []
        self.refused = refused or []
        self.isolated = isolated

    @property
    def limits_address(self) -> tuple[str, int] | None:
        """Host and port for questions about limits; None if there is none."""
        if not self.limits_port:
            return None
        return self.peer_address.rpartition(":")[0], self.limits_port

    @property
    def process(self) -> str:
        """Identifier of the VM's process; a restart changes it."""
        return f"{self.vm}#{self.incarnation}"

    def supersedes(self, other: "VmRecord") -> bool:
        """Whether this is a later record than another one of the same VM."""
        return (self.incarnation, self.number) > (
            other.incarnation,
            other.number,
        )

    def without_summed_fields(self) -> "VmRecord":
        """Copy this record without what an aggregator sums or sends otherwise.

        An aggregator passes on such copies.
        """
        copy = VmRecord(*self.to_record())
        copy.in_flight, copy.pending, copy.failures = {}, {}, {}
        copy.levels, copy.usage, copy.work = {}, {}, {}
        copy.silent, copy.known, copy.aggregator = [], [], ""
        copy.used, copy.trials, copy.samples = {}, {}, {}
        copy.notices = []
        copy.refused = []
        return copy

    def differs_from(self, other: "VmRecord", versions: bool) -> bool:
        """Whether the status fields differ from those of another record.

        An aggregator passes a record on at once if they do.

        Counters and sequence numbers, which each record changes, are not
        compared, and neither are fields that aggregates carry in other ways.

        :param versions: whether to compare configuration and directory
            versions, too.
        """
        names = (
            _STATUS_FIELDS + _VERSION_FIELDS if versions else _STATUS_FIELDS
        )
        return any(
            getattr(self, name) != getattr(other, name) for name in names
        )

    def to_record(self) -> list[typing.Any]:
        """Encode as the list of its fields, in order, to be sent to peers.

        The last fields are left out while they are empty. VMs of builds that
        don't know them can then read the record.
        """
        record = [getattr(self, name) for name in self.__slots__]
        validation.drop_empty_tail(record, OPTIONAL_FIELDS)
        return record

    @classmethod
    def from_record(cls, record: typing.Any) -> "VmRecord":
        """Decode the result of :meth:`to_record`.

        :raises validation.Misshapen: when a field is missing or invalid.
        """
        return cls(
            *validation.validate_record(_FIELDS, record, OPTIONAL_FIELDS)
        )


#: Status fields; an aggregator passes on changes of these at once.
_STATUS_FIELDS = (
    "incarnation",
    "ready",
    "leaving",
    "follows",
    "reported",
    "gave_up",
    "lease",
    "limits_port",
    "roll_outs",
    "isolated",
)
_VERSION_FIELDS = ("configuration", "directory", "runners")
_COUNT_BY_NAME = validation.is_map_of(
    validation.is_non_empty_string, validation.is_non_negative_int
)
_UNITS_BY_NAME = validation.is_map_of(
    validation.is_non_empty_string, validation.is_finite_number
)
is_usage = validation.is_map_of(validation.is_non_negative_int, _COUNT_BY_NAME)
is_work = validation.is_map_of(
    validation.is_non_empty_string,
    validation.is_tuple_of(
        validation.is_non_negative_int,
        validation.is_non_negative_number,
        validation.is_non_negative_number,
    ),
)
#: Name and check of each field, in order. Fields are checked when a record is
#: decoded, as an invalid one would otherwise raise where its value is used, in
#: a task that many calls depend on.
_FIELDS: tuple[tuple[str, validation.Predicate], ...] = (
    ("vm", validation.is_non_empty_string),
    ("incarnation", validation.is_non_negative_int),
    ("number", validation.is_non_negative_int),
    ("peer_address", validation.is_address),
    ("caller_address", validation.is_string),
    ("data_centre", validation.is_string),
    ("ready", validation.is_bool),
    ("leaving", validation.is_bool),
    ("follows", validation.is_bool),
    ("configuration", validation.is_non_negative_int),
    ("directory", validation.is_non_negative_int),
    ("runners", validation.is_non_negative_int),
    ("in_flight", _COUNT_BY_NAME),
    ("pending", _COUNT_BY_NAME),
    ("used", _UNITS_BY_NAME),
    ("levels", _UNITS_BY_NAME),
    ("usage", is_usage),
    ("work", is_work),
    ("silent", validation.is_list_of(validation.is_non_empty_string)),
    (
        "failures",
        validation.is_map_of(
            validation.is_non_empty_string,
            validation.is_tuple_of(
                validation.is_non_negative_int, validation.is_non_negative_int
            ),
        ),
    ),
    ("reported", validation.is_non_negative_int),
    ("known", validation.is_list_of(validation.is_address)),
    ("crashes", validation.is_none_or(crash_records.is_crash_record)),
    ("gave_up", validation.is_non_negative_int),
    (
        "lease",
        validation.is_none_or(
            validation.is_tuple_of(
                validation.is_non_negative_int, validation.is_non_negative_int
            )
        ),
    ),
    ("limits_port", validation.is_non_negative_int),
    ("aggregator", validation.is_string),
    ("hears", validation.is_non_negative_int),
    ("roll_outs", validation.is_list_of(roll_outs_model.is_order_record)),
    ("trials", trial_samples.is_records),
    ("samples", shared_samples.is_samples),
    ("notices", notices_.is_notices),
    ("refused", validation.is_list_of(validation.is_non_empty_string)),
    ("isolated", validation.is_bool),
)
