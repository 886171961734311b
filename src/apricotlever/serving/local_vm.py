"""Interface of this VM to its link with the other VMs of the fleet."""

import typing

from ..vms import peer_loads
from ..vms import shared_samples
from ..vms import vm_records

from . import store


class LocalVm(typing.Protocol):
    """This VM, which builds the records that the link sends.

    The link passes it what the other VMs report.
    """

    @property
    def version(self) -> int:
        """Version of this VM's active configuration, 0 without one."""

    def record(
        self, number: int, known: list[str], whole: bool, aggregator: str
    ) -> vm_records.VmRecord:
        """Create this VM's next status record.

        The parameters are those of
        :meth:`record_exchange.RecordSource.record`.
        """

    def receive_record(self, record: vm_records.VmRecord) -> None:
        """Apply a status record of another VM."""

    def receive_relayed_totals(
        self, process: str, used: dict[str, float]
    ) -> None:
        """Apply the units admitted by a process, as an aggregator relays them.

        :param process: the process of another VM, which admits calls against
            customers' limits.
        :param used: admitted units by customer since the process started.
        """

    def merge_counts(
        self, counts: dict[str, tuple[typing.Any, typing.Any]]
    ) -> None:
        """Merge usage and work counts of other VMs' processes, from a tally.

        :param counts: usage and work by process; see
            :class:`vm_records.VmRecord`.
        """

    def record_contact(self, processes: typing.Iterable[str]) -> None:
        """Record that an aggregator has heard from processes of other VMs.

        Otherwise they would count as silent, and shares of the customers'
        limits would be reserved for them.

        :param processes: the names of the processes.
        """

    def duty_candidates(self) -> typing.Iterable[str]:
        """Names of the other VMs that hold duties or may take them over.

        An aggregator sends its tallies to them.
        """

    def observe_loads(self, loads: peer_loads.PeerLoads) -> None:
        """Apply the loads that the other VMs put on the runners."""

    def merge_samples(self, samples: shared_samples.Samples) -> None:
        """Add the counts that other VMs have observed to this VM's sums.

        In a large fleet they include this VM's own counts.
        """

    def configure(self, spec: store.Json) -> bool:
        """Activate a configuration if it is newer than the active one.

        :param spec: the configuration document.
        :returns: whether the configuration was activated.
        """

    def runners_changed(self, ended: list[str]) -> None:
        """Apply changes of the runner directory.

        :param ended: IDs of runners that are leaving or were removed.
        """
