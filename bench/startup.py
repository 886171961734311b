"""Measures the processor time from a start to listening and to serving.

The modules of a dialect are excluded, as they belong to a platform. Each step
runs several times, each time in a new process. The minimum counts, because
other load on the machine can only add to the time.
"""

import argparse
import json
import os
import pathlib
import sys
import typing

ROOT = pathlib.Path(__file__).parents[1]
PREAMBLE = (
    f"import gc, sys; gc.disable(); sys.path.insert(0, {str(ROOT / 'src')!r})"
)
#: Interpreter flags and imports of each step. The flags are those of a daemon
#: process; ``asyncio`` alone is the reference.
STEPS = {
    "asyncio": ((), "import asyncio"),
    "listens": (
        ("-S",),
        "from apricotlever.serving import listening_sockets, settings",
    ),
    "serves": (
        ("-S",),
        "from apricotlever.serving import listening_sockets, main",
    ),
}


def measure_processor_s(flags: typing.Sequence[str], code: str) -> float:
    """Run code in a new process and measure its processor time in seconds."""
    python_path = os.pathsep.join(path for path in sys.path if path)
    arguments = [sys.executable, *flags, "-c", code]
    pid = os.posix_spawn(
        sys.executable, arguments, {**os.environ, "PYTHONPATH": python_path}
    )
    _, status, usage = os.wait4(pid, 0)
    if status:
        raise RuntimeError(f"{code!r} failed with wait status {status}")
    return usage.ru_utime + usage.ru_stime


def measure_steps(tries: int) -> dict[str, float]:
    """Measure the minimum processor time of each step, in seconds."""
    return {
        name: min(
            measure_processor_s(flags, f"{PREAMBLE}; {code}")
            for _ in range(tries)
        )
        for name, (flags, code) in STEPS.items()
    }


def run(arguments: typing.Sequence[str]) -> int:
    """Print the time of each step and its ratio to importing asyncio."""
    parser = argparse.ArgumentParser(prog="bench startup")
    parser.add_argument("--tries", type=int, default=20)
    options = parser.parse_args(arguments)
    times_s = measure_steps(options.tries)
    for name, step_s in times_s.items():
        print(
            json.dumps(
                {
                    "step": name,
                    "processor_ms": round(1000.0 * step_s, 1),
                    "part_of_asyncio": round(step_s / times_s["asyncio"], 2),
                }
            )
        )
    return 0
