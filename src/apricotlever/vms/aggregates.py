"""Messages by which an aggregator reports on many VMs at once.

In a large fleet each VM sends its status records (:mod:`.vm_records`) to one
VM of its data centre, its aggregator, which is said to serve it. The
aggregator sums the counters that can be summed and passes on changes of the
other fields, to the VMs that it serves and to the other aggregators.
"""

import typing

from .. import validation
from ..roll_outs import samples as trial_samples

from . import notices as notices_
from . import shared_samples
from . import vm_records

#: How many of the last fields of an aggregate are left out while they are
#: empty.
OPTIONAL_FIELDS = 3
#: Calls in flight and waiting prompt tokens at one runner.
Load = tuple[int, int]
Loads = dict[str, Load]
#: Counts of failed calls and of all calls, by runner.
Failures = dict[str, tuple[int, int]]


class Aggregate:
    """A report that an aggregator sends on the state of many VMs.

    :param vm: name of the aggregator.
    :param incarnation: incarnation of its process.
    :param number: sequence number of the message.
    :param peer_address: where the aggregator receives messages of peers,
        ``host:port``.
    :param whole: whether the message covers the whole fleet, for the VMs that
        the aggregator serves; otherwise it covers only the VMs that the
        aggregator serves, for the other aggregators.
    :param entries: status records of VMs that have changed or are due for a
        repeat, without the fields that are summed.
    :param ages: seconds since each live VM was last heard from; in most
        messages only of the VMs in ``entries``.
    :param used: totals of admitted units that have changed, by process and
        customer; see :class:`.vm_records.VmRecord`.
    :param loads: load of each runner that has any, summed over VMs.
    :param silent: number of VMs that find a runner silent, by runner.
    :param failures: failed calls and all calls by runner, counted since the
        aggregator's process started; empty in most messages.
    :param included: sequence number of the last record of each VM that the
        loads include. By it a VM finds its own part of the loads.
    :param trials: summed counts of calls at the old and new versions of
        roll-outs.
    :param samples: summed counts that VMs have sent since the last aggregate
        with such counts; empty in most messages.
    :param notices: what the aggregator has learned of leaving runners in the
        last seconds.
    :param refused: number of VMs whose connections a runner has just refused,
        by runner.
    """

    __slots__ = (
        "vm",
        "incarnation",
        "number",
        "peer_address",
        "whole",
        "entries",
        "ages",
        "used",
        "loads",
        "silent",
        "failures",
        "included",
        "trials",
        "samples",
        "notices",
        "refused",
    )

    def __init__(
        self,
        vm: str,
        incarnation: int,
        number: int,
        peer_address: str,
        whole: bool,
        entries: list[vm_records.VmRecord] | None = None,
        ages: dict[str, float] | None = None,
        used: dict[str, dict[str, float]] | None = None,
        loads: Loads | None = None,
        silent: dict[str, int] | None = None,
        failures: Failures | None = None,
        included: dict[str, int] | None = None,
        trials: trial_samples.Records | None = None,
        samples: shared_samples.Samples | None = None,
        notices: list[notices_.Record] | None = None,
        refused: dict[str, int] | None = None,
    ) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.number = number
        self.peer_address = peer_address
        self.whole = whole
        self.entries = entries or []
        self.ages = ages or {}
        self.used = used or {}
        self.loads = loads or {}
        self.silent = silent or {}
        self.failures = failures or {}
        self.included = included or {}
        self.trials = trials or {}
        self.samples = samples or {}
        self.notices = notices or []
        self.refused = refused or {}

    @property
    def process(self) -> str:
        """Identifier of the aggregator's process; a restart changes it."""
        return f"{self.vm}#{self.incarnation}"

    def to_record(self) -> list[typing.Any]:
        """Encode as the list of its fields, in order, to be sent to peers.

        The last fields are left out while they are empty.
        """
        record = [getattr(self, name) for name in self.__slots__]
        record[_ENTRIES_AT] = [entry.to_record() for entry in self.entries]
        validation.drop_empty_tail(record, OPTIONAL_FIELDS)
        return record

    @classmethod
    def from_record(cls, record: typing.Any) -> "Aggregate":
        """Decode the result of :meth:`to_record`.

        :raises validation.Misshapen: when a field is missing or invalid.
        """
        fields = validation.validate_record(_FIELDS, record, OPTIONAL_FIELDS)
        fields[_ENTRIES_AT] = [
            vm_records.VmRecord.from_record(entry)
            for entry in fields[_ENTRIES_AT]
        ]
        return cls(*fields)


_ENTRIES_AT = Aggregate.__slots__.index("entries")
_PAIR = validation.is_tuple_of(
    validation.is_non_negative_int, validation.is_non_negative_int
)
_FIELDS: tuple[tuple[str, validation.Predicate], ...] = (
    ("vm", validation.is_non_empty_string),
    ("incarnation", validation.is_non_negative_int),
    ("number", validation.is_non_negative_int),
    ("peer_address", validation.is_address),
    ("whole", validation.is_bool),
    (
        "entries",
        validation.is_list_of(validation.is_list_of(lambda value: True)),
    ),
    (
        "ages",
        validation.is_map_of(
            validation.is_non_empty_string, validation.is_non_negative_number
        ),
    ),
    (
        "used",
        validation.is_map_of(
            validation.is_non_empty_string,
            validation.is_map_of(
                validation.is_non_empty_string, validation.is_finite_number
            ),
        ),
    ),
    ("loads", validation.is_map_of(validation.is_non_empty_string, _PAIR)),
    (
        "silent",
        validation.is_map_of(
            validation.is_non_empty_string, validation.is_non_negative_int
        ),
    ),
    ("failures", validation.is_map_of(validation.is_non_empty_string, _PAIR)),
    (
        "included",
        validation.is_map_of(
            validation.is_non_empty_string, validation.is_non_negative_int
        ),
    ),
    ("trials", trial_samples.is_records),
    ("samples", shared_samples.is_samples),
    ("notices", notices_.is_notices),
    (
        "refused",
        validation.is_map_of(
            validation.is_non_empty_string, validation.is_non_negative_int
        ),
    ),
)


class Tally:
    """Usage and work counts of the VMs that an aggregator serves.

    It is sent to the VMs that hold the fleet's duties or may take them over,
    as they need the counts of all VMs.

    :param vm: name of the aggregator.
    :param peer_address: where the aggregator receives messages of peers,
        ``host:port``.
    :param counts: ``usage`` and ``work`` of :class:`vm_records.VmRecord`, by
        process.
    """

    __slots__ = ("vm", "peer_address", "counts")

    def __init__(
        self,
        vm: str,
        peer_address: str,
        counts: dict[str, tuple[typing.Any, typing.Any]],
    ) -> None:
        self.vm = vm
        self.peer_address = peer_address
        self.counts = counts

    def to_record(self) -> list[typing.Any]:
        """Encode as the list of its fields, in order, to be sent to peers."""
        return [getattr(self, name) for name in self.__slots__]

    @classmethod
    def from_record(cls, record: typing.Any) -> "Tally":
        """Decode the result of :meth:`to_record`.

        :raises validation.Misshapen: when a field is missing or invalid.
        """
        return cls(*validation.validate_record(_TALLY_FIELDS, record))


_TALLY_FIELDS: tuple[tuple[str, validation.Predicate], ...] = (
    ("vm", validation.is_non_empty_string),
    ("peer_address", validation.is_address),
    (
        "counts",
        validation.is_map_of(
            validation.is_non_empty_string,
            validation.is_tuple_of(vm_records.is_usage, vm_records.is_work),
        ),
    ),
)
