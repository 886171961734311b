"""Processor time from a process's start until it listens and can serve.

A dialect's own modules are left out: they belong to a platform. Each step is
a process of its own, and the least of several counts, as whatever else runs
beside can only add to it.
"""

import argparse
import json
import os
import pathlib
import sys
import typing

ROOT = pathlib.Path(__file__).parents[1]
PREPARE = (
    f"import gc, sys; gc.disable(); sys.path.insert(0, {str(ROOT / 'src')!r})"
)
#: What is loaded at each step; the flags are those of a process that serves.
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


def processor_s(flags: typing.Sequence[str], code: str) -> float:
    """Processor time of one process that runs code, in seconds."""
    paths = os.pathsep.join(path for path in sys.path if path)
    arguments = [sys.executable, *flags, "-c", code]
    pid = os.posix_spawn(
        sys.executable, arguments, {**os.environ, "PYTHONPATH": paths}
    )
    _, status, usage = os.wait4(pid, 0)
    if status:
        raise RuntimeError(f"{code!r} ended with {status}")
    return usage.ru_utime + usage.ru_stime


def measure(tries: int) -> dict[str, float]:
    """The least processor time of each step, in seconds."""
    return {
        name: min(
            processor_s(flags, f"{PREPARE}; {code}") for _ in range(tries)
        )
        for name, (flags, code) in STEPS.items()
    }


def run(arguments: typing.Sequence[str]) -> int:
    """Print each step, and its part of loading asyncio alone."""
    parser = argparse.ArgumentParser(prog="bench startup")
    parser.add_argument("--tries", type=int, default=20)
    options = parser.parse_args(arguments)
    found = measure(options.tries)
    for name, spent_s in found.items():
        print(
            json.dumps(
                {
                    "step": name,
                    "processor_ms": round(1000.0 * spent_s, 1),
                    "part_of_asyncio": round(spent_s / found["asyncio"], 2),
                }
            )
        )
    return 0
