"""Faults, relays and queries for the failure tests of the store."""

import json
import pathlib
import typing

from tests.daemon import fleet_fixture
from tests.daemon import followers
from tests.support import fault_relay
from tests.support import fleet
from tests.support import http

STORE = "objects"
CURRENT = "catalogue/current"
FAULTS: dict[str, dict[str, typing.Any]] = {
    "down": {"down": True},
    "closing connections": {"refuse": True},
    "silent": {"silent": True},
    "slow by 3 s": {"slow_s": 3.0},
    "throttling all calls": {"calls_per_s": 0.01},
    "losing answers": {"lose_answer_probability": 1.0},
}


class StoreRelayFixture(fleet_fixture.FleetFixture):
    """A fleet whose connections to the store can be made silent."""

    def _start_platform(self) -> None:
        super()._start_platform()
        node = self.fleet.node(STORE)
        self.store_address = node.address
        self.relay = fault_relay.FaultRelay(node.address)
        node.address = self.relay.address

    def close(self) -> None:
        """Stop every process and the relay."""
        super().close()
        self.relay.close()


def addresses(fixture: fleet_fixture.FleetFixture) -> dict[str, str]:
    """The address at which each entry VM listens for callers."""
    return {vm: fixture.fleet.address(vm) for vm in fixture.vms}


def versions(fixture: fleet_fixture.FleetFixture) -> dict[str, int]:
    """The catalogue version in force at each entry VM."""
    return {
        vm: followers.catalogue_version(address)
        for vm, address in addresses(fixture).items()
    }


def stored(fixture: fleet_fixture.FleetFixture) -> typing.Any:
    """The catalogue's object in the store, with version and value."""
    path = f"/v1/objects/{CURRENT}"
    return http.call(fixture.fleet.address(STORE), "GET", path).payload


def write_document(
    folder: pathlib.Path, name: str, document: typing.Any
) -> str:
    """Write a document to a file that the operators' client can apply.

    :returns: path of the file.
    """
    path = folder / f"{name}.json"
    path.write_text(json.dumps(document))
    return str(path)


def wait_in_force(
    fixture: fleet_fixture.FleetFixture, version: int, timeout_s: float
) -> None:
    """Wait until a version is in force at every entry VM."""
    fleet.wait_for(
        lambda: set(versions(fixture).values()) == {version}, timeout_s
    )
