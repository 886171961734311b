"""A fleet of real processes whose parts can fail in every way.

with fleet.Fleet() as running:
    running.start_platform()
    running.start_engines(["e1", "e2"], pool="llm")
    running.put_catalogue(document)
    running.start_daemons({"vm-1": "dc-a", "vm-2": "dc-b"})
"""

import itertools
import threading
import time
import typing

from standins import _journal
from tests.support import http
from tests.support import launcher
from tests.support import processes

WAIT_S = 30.0


class Fleet(launcher.Launcher):
    """Starts processes, reads their counts and makes them fail.

    The parameters are those of :class:`launcher.Launcher`.
    """

    def __init__(
        self,
        timing: dict[str, typing.Any] | None = None,
        sizes: dict[str, typing.Any] | None = None,
        region: str = "here",
    ) -> None:
        super().__init__(timing, sizes, region)
        self._timers: list[threading.Timer] = []

    def __enter__(self) -> "Fleet":
        return self

    def faults(self, name: str, **faults: typing.Any) -> None:
        """Set faults of a stand-in."""
        self.control(name, "faults", faults)

    def counts(self, name: str) -> dict[str, typing.Any]:
        """What a stand-in has counted."""
        return self.control(name, "counts")

    def journal(self, name: str) -> dict[str, int]:
        """Executions or runs of a runner, also of a killed one."""
        return dict(_journal.read(str(self.journal_path(name))))

    def journals(self) -> dict[str, int]:
        """Executions and runs of all runners together, by name."""
        total: dict[str, int] = {}
        pairs = itertools.chain.from_iterable(
            self.journal(name).items() for name in self.names
        )
        for name, count in pairs:
            total[name] = total.get(name, 0) + count
        return total

    def put_object(self, name: str, value: typing.Any) -> int:
        """Write an object whatever its version is.

        :returns: its new version.
        """
        reply = http.call(
            self.address("objects"),
            "PUT",
            f"/v1/objects/{name}",
            {"value": value},
        )
        assert reply.status == 200, reply.payload
        return reply.payload["version"]

    def put_catalogue(self, document: dict[str, typing.Any]) -> int:
        """Put a catalogue in force without the operators' client."""
        return self.put_object("catalogue/current", document)

    def reclaim(
        self,
        names: typing.Sequence[str],
        notice_s: float,
        kill: bool = True,
    ) -> None:
        """Announce a reclaim and end the processes at its deadline."""
        self.control(
            "cloud", "reclaim", {"vms": list(names), "notice_s": notice_s}
        )
        for name in names if kill else ():
            timer = threading.Timer(notice_s, self.process(name).kill)
            timer.daemon = True
            timer.start()
            self._timers.append(timer)

    def vanish(self, names: typing.Sequence[str]) -> None:
        """End processes without a notice; the list tells it late."""
        for name in names:
            self.process(name).kill()
        self.control("cloud", "gone", {"vms": list(names)})

    def kill(self, name: str) -> None:
        """End a process at once; the cloud is not told."""
        self.process(name).kill()

    def pause(self, name: str) -> None:
        """Stop a process where it stands."""
        self.process(name).pause()

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.process(name).resume()

    def terminate(self, name: str, timeout_s: float | None = None) -> None:
        """Ask a process for a graceful shutdown.

        :param timeout_s: how long to wait for its end; None not to.
        """
        self.process(name).terminate()
        if timeout_s is not None:
            self.process(name).wait(timeout_s)

    def close(self) -> None:
        """End each process and each reclaim under way."""
        for timer in self._timers:
            timer.cancel()
        super().close()


def wait_for(
    ready: typing.Callable[[], typing.Any], timeout_s: float = WAIT_S
) -> typing.Any:
    """Poll until ``ready`` gives something.

    :raises AssertionError: when the time is over.
    """
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        found = ready()
        if found:
            return found
        time.sleep(processes.POLL_S)
    raise AssertionError(f"still waiting after {timeout_s} s")
