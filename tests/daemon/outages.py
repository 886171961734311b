"""What the failure tests of the store do to it and read from it."""

import json
import pathlib
import typing

from tests.daemon import followers
from tests.daemon import scene
from tests.support import cuttable
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


class RelayedStore(scene.Scene):
    """A fleet whose connections to the store can go silent."""

    def _start_platform(self) -> None:
        super()._start_platform()
        node = self.fleet.node(STORE)
        self.direct = node.address
        self.relay = cuttable.Relay(node.address)
        node.address = self.relay.address

    def close(self) -> None:
        """End every process and the relay."""
        super().close()
        self.relay.close()


def addresses(running: scene.Scene) -> dict[str, str]:
    """Where each entry VM listens for callers."""
    return {vm: running.fleet.address(vm) for vm in running.vms}


def versions(running: scene.Scene) -> dict[str, int]:
    """The catalogue version at each entry VM."""
    return {
        vm: followers.version_at(address)
        for vm, address in addresses(running).items()
    }


def stored(running: scene.Scene) -> typing.Any:
    """The catalogue's object, with version and value."""
    path = f"/v1/objects/{CURRENT}"
    return http.call(running.fleet.address(STORE), "GET", path).payload


def write_document(
    folder: pathlib.Path, name: str, document: typing.Any
) -> str:
    """Write a document that the operators' client can apply.

    :returns: the file's path.
    """
    path = folder / f"{name}.json"
    path.write_text(json.dumps(document))
    return str(path)


def wait_in_force(
    running: scene.Scene, version: int, timeout_s: float
) -> None:
    """Wait until a version is in force at every entry VM."""
    fleet.wait_for(
        lambda: set(versions(running).values()) == {version}, timeout_s
    )
