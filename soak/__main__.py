"""``python -m soak``: soaks with seeds, and tells which promises broke."""

import argparse
import asyncio
import json
import pathlib
import random
import shutil
import sys
import tempfile
import typing

from . import callers
from . import checks
from . import faults
from . import fleet

VMS = 3
RUNNERS = 6
CALLERS = 8
SECONDS = 12.0
#: After the last fault until calls have to be served again, in seconds:
#: silent connections are noticed, what is missing in the store is gone.
SETTLE_S = 6.0
CALM_S = 2.0
SEEDS = range(1_000_000)


class Result:
    """What came of one soak.

    :param broken: promises that were not kept.
    """

    def __init__(
        self,
        seed: int,
        calls: list[callers.Call],
        planned: list[tuple[float, str]],
        broken: list[str],
    ) -> None:
        self.seed = seed
        self.calls = calls
        self.planned = planned
        self.broken = broken

    @property
    def document(self) -> dict[str, typing.Any]:
        """The result in numbers and words."""
        return {
            "seed": self.seed,
            "calls": len(self.calls),
            "served": sum(call.served for call in self.calls),
            "faults": [f"{at:.1f} {name}" for at, name in self.planned],
            "broken": self.broken,
        }


async def soak(seed: int, seconds: float, folder: pathlib.Path) -> Result:
    """Run one soak.

    :param seconds: in which faults begin.
    :param folder: for logs and journals.
    """
    rng = random.Random(seed)
    running = fleet.Fleet(folder)
    planned = faults.plan(rng, seconds)
    try:
        await running.start(VMS, RUNNERS)
        crowd = callers.Callers(running, rng)
        tasks = [asyncio.ensure_future(crowd.run()) for _ in range(CALLERS)]
        await _disturb(running, planned, rng)
        await asyncio.sleep(SETTLE_S)
        calm_from = crowd.now
        await asyncio.sleep(CALM_S)
        crowd.stop()
        await asyncio.gather(*tasks)
        broken = checks.broken(crowd.calls, running.ran(), calm_from)
        return Result(seed, crowd.calls, planned, broken)
    finally:
        running.close()


async def _disturb(
    running: fleet.Fleet,
    planned: list[tuple[float, str]],
    rng: random.Random,
) -> None:
    """Begin each fault in its time, and wait until all are over."""
    began = asyncio.get_running_loop().time()
    tasks = []
    for at, name in planned:
        now = asyncio.get_running_loop().time() - began
        await asyncio.sleep(max(0.0, at - now))
        own = random.Random(rng.random())
        tasks.append(asyncio.ensure_future(faults.FAULTS[name](running, own)))
    await asyncio.gather(*tasks)


def _run(seed: int, seconds: float, keep: pathlib.Path) -> Result:
    """Run one soak; the folder of one that broke a promise is kept."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    result = asyncio.run(soak(seed, seconds, folder))
    if result.broken:
        kept = keep / f"seed-{seed}"
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
    shutil.rmtree(folder, ignore_errors=True)
    return result


def main(arguments: list[str]) -> int:
    """Run the soaks.

    :returns: 1 if a promise was broken, else 0.
    """
    parser = argparse.ArgumentParser("soak", description=__doc__)
    parser.add_argument(
        "--seeds", type=int, default=5, help="fresh seeds (default: 5)"
    )
    parser.add_argument(
        "--seed", type=int, action="append", help="one seed; may come often"
    )
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument(
        "--keep",
        type=pathlib.Path,
        default=pathlib.Path("soak-logs"),
        help="where folders of soaks that broke a promise go",
    )
    options = parser.parse_args(arguments)
    fresh = random.SystemRandom()
    seeds = options.seed or [fresh.choice(SEEDS) for _ in range(options.seeds)]
    broken = 0
    for seed in seeds:
        result = _run(seed, options.seconds, options.keep)
        print(json.dumps(result.document), flush=True)
        broken += bool(result.broken)
    return int(bool(broken))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
