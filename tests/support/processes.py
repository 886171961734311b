"""One child process of a test: its start, its log and its end."""

import os
import pathlib
import re
import signal
import subprocess
import time
import typing

ROOT = pathlib.Path(__file__).resolve().parents[2]
POLL_S = 0.02
KILLED_S = 10.0
LISTENING = re.compile(r"listening host=(\S+) port=(\d+)(?: control=(\d+))?")


class NotReady(Exception):
    """A process ended or stayed silent before it was ready."""


class Process:
    """A child that can be killed, paused and started again.

    :param name: of its log file as well.
    :param arguments: the command line.
    :param log_path: where stdout and stderr go, appended at a restart.
    """

    __slots__ = ("_name", "_arguments", "_log_path", "_child", "_logged")

    def __init__(
        self, name: str, arguments: list[str], log_path: pathlib.Path
    ) -> None:
        self._name = name
        self._arguments = arguments
        self._log_path = log_path
        self._child: subprocess.Popen[bytes] | None = None
        self._logged = 0

    @property
    def name(self) -> str:
        """The name given at construction."""
        return self._name

    @property
    def pid(self) -> int:
        """The process ID of the latest start."""
        assert self._child is not None
        return self._child.pid

    @property
    def exit_code(self) -> int | None:
        """How it ended; None while it runs."""
        return None if self._child is None else self._child.poll()

    @property
    def running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._child is not None and self._child.poll() is None

    @property
    def log(self) -> str:
        """What it has printed since its latest start."""
        return self._log_path.read_text(errors="replace")[self._logged :]

    @property
    def cpu_s(self) -> float:
        """Processor seconds used so far, as user and system together."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    @property
    def rss_bytes(self) -> int:
        """Resident memory."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def start(self, extra: typing.Sequence[str] = ()) -> None:
        """Start the command, with extra arguments for this start only."""
        if self._log_path.exists():
            self._logged = len(self._log_path.read_text(errors="replace"))
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
        """Wait for the line that tells the ports.

        :returns: the port of the service and that of its control.
        :raises NotReady: with the log.
        """
        found = self.wait_until(
            lambda: LISTENING.search(self.log), timeout_s, "listening"
        )
        port = int(found.group(2))
        return port, int(found.group(3) or port)

    def wait_until(
        self,
        ready: typing.Callable[[], typing.Any],
        timeout_s: float,
        wanted: str,
    ) -> typing.Any:
        """Wait for something that ``ready`` gives while the child runs.

        :raises NotReady: with the log.
        """
        until = time.monotonic() + timeout_s
        while time.monotonic() < until and self.running:
            found = ready()
            if found:
                return found
            time.sleep(POLL_S)
        raise NotReady(
            f"{self._name}: not {wanted}, exit code {self.exit_code}:\n"
            f"{self.log}"
        )

    def signal(self, number: int) -> None:
        """Send a signal to this child, if it still runs."""
        if self._child is not None and self.running:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End it at once and wait for its end."""
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait(KILLED_S)

    def pause(self) -> None:
        """Stop it where it stands (SIGSTOP)."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on after a pause (SIGCONT)."""
        self.signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask it for a graceful shutdown (SIGTERM)."""
        self.signal(signal.SIGTERM)

    def wait(self, timeout_s: float) -> int:
        """Wait for its end.

        :returns: the exit code.
        :raises subprocess.TimeoutExpired: if it still runs.
        """
        assert self._child is not None
        return self._child.wait(timeout_s)
