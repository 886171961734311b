"""Child processes of a soak test."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import typing

ROOT = pathlib.Path(__file__).resolve().parents[1]
POLL_INTERVAL_S = 0.05


class ChildProcess:
    """One child process, which is signalled by its process id only.

    :param arguments: of ``python -m``.
    :param log: file for the output of the process.
    """

    def __init__(self, arguments: list[str], log: pathlib.Path) -> None:
        self._arguments = arguments
        self._log = log
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self) -> int:
        """The id of the process that was started last; 0 before."""
        return self._process.pid if self._process is not None else 0

    def start(self) -> None:
        """Start the process, or start it again after it has ended."""
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *self._arguments],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send_signal(self, number: int) -> None:
        """Send a signal to the process if it is still running."""
        if self._process is not None and self.is_running:
            os.kill(self._process.pid, number)

    async def wait_until_ended(self, timeout_s: float) -> bool:
        """Wait for the end of the process.

        :returns: False when the process has not ended in time.
        """
        return await wait_until(lambda: not self.is_running, timeout_s)

    def kill(self) -> None:
        """Kill the process, even if it is suspended, and wait for its end."""
        if self._process is not None:
            self.send_signal(signal.SIGKILL)
            self._process.wait()


async def wait_until(
    condition: typing.Callable[[], bool], timeout_s: float
) -> bool:
    """Poll a condition until it holds or the time is over.

    :returns: whether the condition held in time.
    """
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        if asyncio.get_running_loop().time() > deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL_S)
    return True
