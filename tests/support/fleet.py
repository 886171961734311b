"""A fleet of real processes with injectable faults.

Example::

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

WAIT_TIMEOUT_S = 30.0


class Fleet(launcher.Launcher):
    """Starts processes, reads their counters and injects faults.

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

    def set_faults(self, name: str, **faults: typing.Any) -> None:
        """Set the fault settings of a stand-in."""
        self.control(name, "faults", faults)

    def counts(self, name: str) -> dict[str, typing.Any]:
        """Fetch the counters of a stand-in."""
        return self.control(name, "counts")

    def execution_counts(self, name: str) -> dict[str, int]:
        """Executions by request, or runs by key, of a runner.

        The journal file holds them, so they outlive a killed process.
        """
        return dict(_journal.read_counts(str(self.journal_path(name))))

    def total_execution_counts(self) -> dict[str, int]:
        """The execution counts of all runners, added up by request or key."""
        total: dict[str, int] = {}
        counts = itertools.chain.from_iterable(
            self.execution_counts(name).items() for name in self.names
        )
        for name, count in counts:
            total[name] = total.get(name, 0) + count
        return total

    def put_object(self, name: str, value: typing.Any) -> int:
        """Write an object regardless of its current version.

        :returns: the new version.
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
        """Activate a catalogue without the operators' client.

        :returns: the catalogue object's new version.
        """
        return self.put_object("catalogue/current", document)

    def reclaim(
        self,
        names: typing.Sequence[str],
        notice_s: float,
        kill: bool = True,
    ) -> None:
        """Announce a reclaim of VMs and kill their processes at the deadline.

        :param notice_s: seconds from the notice to the deadline.
        :param kill: whether the processes are killed at the deadline.
        """
        self.control(
            "cloud", "reclaim", {"vms": list(names), "notice_s": notice_s}
        )
        for name in names if kill else ():
            timer = threading.Timer(notice_s, self.process(name).kill)
            timer.daemon = True
            timer.start()
            self._timers.append(timer)

    def kill_without_notice(self, names: typing.Sequence[str]) -> None:
        """Kill processes without a notice.

        The cloud's VM list drops their VMs after its configured lag.
        """
        for name in names:
            self.process(name).kill()
        self.control("cloud", "gone", {"vms": list(names)})

    def kill(self, name: str) -> None:
        """Kill a process and leave its VM on the cloud's list."""
        self.process(name).kill()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        self.process(name).pause()

    def resume(self, name: str) -> None:
        """Continue a suspended process."""
        self.process(name).resume()

    def terminate(self, name: str, timeout_s: float | None = None) -> None:
        """Request a graceful shutdown with SIGTERM.

        :param timeout_s: seconds to wait for the exit; None does not wait.
        :raises subprocess.TimeoutExpired: if the process still runs then.
        """
        self.process(name).terminate()
        if timeout_s is not None:
            self.process(name).wait(timeout_s)

    def close(self) -> None:
        """Cancel the pending reclaims and end all processes."""
        for timer in self._timers:
            timer.cancel()
        super().close()


def wait_for(
    condition: typing.Callable[[], typing.Any],
    timeout_s: float = WAIT_TIMEOUT_S,
) -> typing.Any:
    """Poll until a condition returns a truthy value.

    :param condition: polled every ``processes.POLL_INTERVAL_S`` seconds.
    :param timeout_s: seconds after which polling stops.
    :returns: that value.
    :raises AssertionError: when the timeout has passed.
    """
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(processes.POLL_INTERVAL_S)
    raise AssertionError(f"condition not met within {timeout_s} s")
