"""A runner spoils an event; the resumed stream lacks the events before it."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import caller as callers  # noqa: E402
from standins import deployment as deployments  # noqa: E402
from standins import runner as runners  # noqa: E402

STREAMS = 400
CALLERS = 8
#: Events that a runner writes at a time, as several tokens' events of a step.
BURST = 4
#: One in so many answers of one of the two runners is spoiled (x = 0.02).
SPOILED_EVERY = 50
#: The event that is spoiled, the third one of the second burst.
SPOILED_EVENT = 7
TIMEOUT_S = 4.0


def spoil(number: int, events: list[bytes]) -> list[bytes]:
    """Replace one event of some answers by other bytes of its length."""
    if number % SPOILED_EVERY or len(events) < SPOILED_EVENT:
        return events
    events = list(events)
    length = len(events[SPOILED_EVENT - 1])
    events[SPOILED_EVENT - 1] = b"\xa5" * (length - 2) + b"\n\n"
    return events


async def play(
    deployment: deployments.Deployment, trouble: bool
) -> tuple[bool, str]:
    """Read many streams, and look for gaps in those that end as complete."""
    route = deployments.route("/stream/", "streaming", 2, 4000, True)
    await deployment.start_platform([route])
    for name, zone in (("i-1", "zone-a"), ("i-2", "zone-b")):
        faulty = trouble and name == "i-1"
        await deployment.add_runner(
            runners.Runner(
                name,
                "v1",
                deployment.log,
                burst=BURST,
                spoil=spoil if faulty else None,
            ),
            zone,
        )
    await deployment.start_vms(2)
    await asyncio.sleep(1.5)
    results = await asyncio.gather(
        *(_call(deployment, number) for number in range(CALLERS))
    )
    streams = [each for some in results for each in some]
    whole = [each for each in streams if each.is_whole and each.status == 200]
    wanted = list(range(1, runners.EVENT_COUNT + 1))
    gaps = [
        numbers
        for each in whole
        if (numbers := [number for number, _ in each.events]) != wanted
    ]
    text = (
        f"{len(streams)} streams, {len(whole)} complete,"
        f" {len(gaps)} of these with events missing"
    )
    if gaps:
        text += f", the first: {gaps[0]}"
    if len(whole) < len(streams) // 2:
        raise OSError(f"too few streams were served: {text}")
    return not gaps, text


async def _call(
    deployment: deployments.Deployment, number: int
) -> list[callers.Answer]:
    caller = callers.Caller(deployment.log, f"a{number}")
    answers = []
    for _ in range(STREAMS // CALLERS):
        host = deployment.vms[number % len(deployment.vms)].host
        answers.append(
            await caller.send(
                host, "POST", "/stream/x", caller.next_id(), TIMEOUT_S
            )
        )
    return answers


if __name__ == "__main__":
    sys.exit(deployments.main(FOLDER, play))
