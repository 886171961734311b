"""Runs a child process of a test: starts it, reads its log and stops it."""

import os
import pathlib
import re
import signal
import subprocess
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]
POLL_INTERVAL_S = 0.02
KILL_TIMEOUT_S = 10.0
LISTENING_LINE = re.compile(
    r"listening host=(\S+) port=(\d+)(?: control=(\d+))?"
)


class ProcessNotReady(Exception):
    """A process exited, or timed out, before it was ready."""


class Process:
    """A child process that can be killed, suspended and restarted.

    :param name: used in error messages.
    :param arguments: the command line.
    :param log_path: the file for stdout and stderr; a restart appends to it.
    """

    __slots__ = ("_name", "_arguments", "_log_path", "_child", "_log_start")

    def __init__(
        self, name: str, arguments: list[str], log_path: pathlib.Path
    ) -> None:
        self._name = name
        self._arguments = arguments
        self._log_path = log_path
        self._child: subprocess.Popen[bytes] | None = None
        self._log_start = 0

    @property
    def name(self) -> str:
        """The name of the process in error messages."""
        return self._name

    @property
    def pid(self) -> int:
        """The process ID of the latest start."""
        assert self._child is not None
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code; None while the process runs or before its start."""
        return None if self._child is None else self._child.poll()

    @property
    def running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._child is not None and self._child.poll() is None

    @property
    def log(self) -> str:
        """The output since the latest start."""
        return self._log_path.read_text(errors="replace")[self._log_start :]

    @property
    def cpu_s(self) -> float:
        """User and system CPU time used so far, in seconds."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def rss_bytes(self) -> int:
        """Resident memory in bytes."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def start(self, extra: typing.Sequence[str] = ()) -> None:
        """Start the command.

        :param extra: further arguments for this start only.
        """
        if self._log_path.exists():
            self._log_start = len(self._log_path.read_text(errors="replace"))
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        with self._log_path.open("ab") as log:
            self._child = subprocess.Popen(
                [*self._arguments, *extra],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def wait_listening(self, timeout_s: float) -> tuple[int, int]:
        """Wait for the log line that names the ports.

        :returns: the service's port and its control port; the same one twice
            if the process has no control port of its own.
        :raises ProcessNotReady: if the process exits or the timeout passes;
            the message contains the log.
        """
        found = self.wait_until(
            lambda: LISTENING_LINE.search(self.log), timeout_s, "listening"
        )
        port = int(found.group(2))
        return port, int(found.group(3) or port)

    def wait_until(
        self,
        condition: typing.Callable[[], typing.Any],
        timeout_s: float,
        wanted_state: str,
    ) -> typing.Any:
        """Poll until a condition returns a truthy value.

        :param timeout_s: seconds after which polling stops.
        :param wanted_state: named in the error message.
        :returns: that value.
        :raises ProcessNotReady: if the process exits or the timeout passes;
            the message contains the log.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline and self.running:
            found = condition()
            if found:
                return found
            time.sleep(POLL_INTERVAL_S)
        raise ProcessNotReady(
            f"{self._name}: not {wanted_state}, exit code {self.exit_code}:\n"
            f"{self.log}"
        )

    def signal(self, signal_number: int) -> None:
        """Send a signal to the process if it still runs."""
        if self._child is not None and self.running:
            self._child.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its exit."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait(KILL_TIMEOUT_S)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP)."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process after :meth:`pause` (SIGCONT)."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful shutdown (SIGTERM)."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for the exit.

        :param timeout_s: seconds to wait.
        :returns: the exit code.
        :raises subprocess.TimeoutExpired: if the process still runs then.
        """
        assert self._child is not None
        return self._child.wait(timeout_s)
