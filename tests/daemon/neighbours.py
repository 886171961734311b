"""What entry VMs tell of each other, and networks cut between two."""

import itertools
import json
import typing

from tests.daemon import detoured
from tests.daemon import scene
from tests.support import cuttable
from tests.support import http

DETOURED = "tests.daemon.detoured"


class DetouredScene(scene.Scene):
    """A fleet in which the network between two VMs can be cut.

    Nothing is cut between either of them and any other VM.
    """

    def _start_platform(self) -> None:
        super()._start_platform()
        self.cuts: list[cuttable.Relay] = []
        self.fleet.use_daemon(DETOURED)

    def cut(self, one: str, other: str) -> None:
        """Let nothing through between two VMs, and close nothing either."""
        for here, there in itertools.permutations((one, other)):
            address = self.fleet.node(there).peers
            relay = cuttable.Relay(address)
            relay.silence(new_too=True)
            self.cuts.append(relay)
            path = detoured.path_for(self.fleet.settings_path(here))
            path.write_text(json.dumps({address: relay.address}))

    @property
    def attempts(self) -> int:
        """Connections that were tried across the cut."""
        return min(relay.accepted for relay in self.cuts)

    def mend(self) -> None:
        """Let everything through again."""
        for name in self.vms:
            path = detoured.path_for(self.fleet.settings_path(name))
            path.unlink(missing_ok=True)

    def close(self) -> None:
        """End every process and relay."""
        super().close()
        for relay in self.cuts:
            relay.close()


def named_by(running: scene.Scene, vm: str) -> set[str]:
    """The entry VMs that a VM names to callers."""
    reply = http.call(running.fleet.address(vm), "GET", "/v1/entries")
    return {row["vm"] for row in reply.payload["entries"]}


def names(running: scene.Scene, others: typing.Iterable[str]) -> set[str]:
    """The entry VMs that any of some VMs names to callers."""
    found = (named_by(running, vm) for vm in others)
    return set(itertools.chain.from_iterable(found))


def incarnation_at(running: scene.Scene, vm: str, of: str) -> int | None:
    """Under which incarnation a VM knows another one."""
    rows = running.status(vm)["peers"]
    found = (row.get("incarnation") for row in rows if row["vm"] == of)
    return next(found, None)
