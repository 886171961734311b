"""Reads how entry VMs see each other, and cuts the network between two."""

import itertools
import json
import typing

from tests.daemon import fleet_fixture
from tests.daemon import relayed_daemon
from tests.support import fault_relay
from tests.support import http

DAEMON_WITH_RELAYS = "tests.daemon.relayed_daemon"


class PartitionableFleet(fleet_fixture.FleetFixture):
    """A fleet in which the network between two entry VMs can be cut.

    The network between these two and the other VMs stays intact.
    """

    def _start_platform(self) -> None:
        super()._start_platform()
        self.partition_relays: list[fault_relay.FaultRelay] = []
        self.fleet.set_daemon_module(DAEMON_WITH_RELAYS)

    def partition(self, first: str, second: str) -> None:
        """Drop all data between two VMs without closing connections."""
        for source, target in itertools.permutations((first, second)):
            address = self.fleet.node(target).peer_address
            relay = fault_relay.FaultRelay(address)
            relay.blackhole(new_too=True)
            self.partition_relays.append(relay)
            path = relayed_daemon.path_for(self.fleet.settings_path(source))
            path.write_text(json.dumps({address: relay.address}))

    @property
    def connection_attempts(self) -> int:
        """Number of connections attempted across the cut.

        It is the smaller number of the two directions.
        """
        return min(relay.accepted_count for relay in self.partition_relays)

    def restore(self) -> None:
        """Restore the network between all VMs."""
        for name in self.vms:
            path = relayed_daemon.path_for(self.fleet.settings_path(name))
            path.unlink(missing_ok=True)

    def close(self) -> None:
        """Stop all processes and close all relays."""
        super().close()
        for relay in self.partition_relays:
            relay.close()


def listed_by(fixture: fleet_fixture.FleetFixture, vm: str) -> set[str]:
    """The entry VMs that a VM lists for callers."""
    reply = http.call(fixture.fleet.address(vm), "GET", "/v1/entries")
    return {row["vm"] for row in reply.payload["entries"]}


def listed_by_any(
    fixture: fleet_fixture.FleetFixture, vms: typing.Iterable[str]
) -> set[str]:
    """The entry VMs that at least one of some VMs lists for callers."""
    listed = (listed_by(fixture, vm) for vm in vms)
    return set(itertools.chain.from_iterable(listed))


def incarnation_at(
    fixture: fleet_fixture.FleetFixture, vm: str, subject: str
) -> int | None:
    """The incarnation of another VM in the view of a VM.

    :param vm: the VM whose view is read.
    :param subject: the other VM.
    :returns: the incarnation; None if the VM does not know the other one.
    """
    rows = fixture.status(vm)["peers"]
    incarnations = (
        row.get("incarnation") for row in rows if row["vm"] == subject
    )
    return next(incarnations, None)
