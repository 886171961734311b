"""All VMs are killed at the end of a release; streams join two versions."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import caller as callers  # noqa: E402
from standins import deployment as deployments  # noqa: E402
from standins import runner as runners  # noqa: E402

STREAMS = 40
#: Streams begin one after the other.
BEGIN_INTERVAL_S = 0.05
EVENT_COUNT = 100
EVENT_INTERVAL_S = 0.05
TIMEOUT_S = 15.0
#: Runners of each version at the start. The release replaces those of v1, two
#: of five (share 0.4), one at a time.
OLD_RUNNERS = 2
OTHER_RUNNERS = 3
RELEASE_INTERVAL_S = 1.0
#: Time from the start of a new runner to the removal of the old one's entry.
OVERLAP_S = 0.2
#: Time from the last removal until all VMs are killed, and until they are
#: started again.
KILL_AFTER_S = 0.3
DOWN_S = 0.5
#: Tries of a caller to take a stream up again, and the pauses before them.
RESUME_PAUSES_S = (0.4, 0.6, 1.0, 1.0)
#: So many streams may hold events of two versions.
ALLOWED_MIXED = 2


async def play(
    deployment: deployments.Deployment, trouble: bool
) -> tuple[bool, str]:
    """Take streams up again after the kill, and look for joined versions."""
    route = deployments.route("/stream/", "streaming", 2, 15000, True)
    await deployment.start_platform([route])
    for number in range(OLD_RUNNERS):
        await _add_runner(deployment, f"old-{number}", "v1", number)
    for number in range(OTHER_RUNNERS):
        await _add_runner(deployment, f"other-{number}", "v2", number)
    await deployment.start_vms(2)
    await asyncio.sleep(1.5)
    caller = callers.Caller(deployment.log)
    streams = []
    for number in range(STREAMS):
        streams.append(
            asyncio.ensure_future(_stream(deployment, caller, number))
        )
        await asyncio.sleep(BEGIN_INTERVAL_S)
    for number in range(OLD_RUNNERS):
        if number:
            await asyncio.sleep(RELEASE_INTERVAL_S - OVERLAP_S)
        await _add_runner(deployment, f"new-{number}", "v2", number)
        await asyncio.sleep(OVERLAP_S)
        await deployment.remove_entry(f"old-{number}")
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        for each in deployment.vms:
            each.kill()
        deployment.log.write("all VMs are killed")
        await asyncio.sleep(DOWN_S)
        for each in deployment.vms:
            each.start()
        deployment.log.write("all VMs are started again")
    found = await asyncio.gather(*streams)
    mixed = [versions for versions in found if len(set(versions)) > 1]
    old = sum("v1" in versions for versions in found)
    text = (
        f"{len(found)} streams, {sum(map(bool, found))} begun, {old} at v1,"
        f" {len(mixed)} with events of two versions"
    )
    if old <= ALLOWED_MIXED:
        raise OSError(f"too few streams were served: {text}")
    return len(mixed) <= ALLOWED_MIXED, text


async def _add_runner(
    deployment: deployments.Deployment, name: str, version: str, number: int
) -> None:
    added = runners.Runner(
        name,
        version,
        deployment.log,
        pause_s=EVENT_INTERVAL_S,
        event_count=EVENT_COUNT,
    )
    await deployment.add_runner(added, ("zone-a", "zone-b")[number % 2])


async def _stream(
    deployment: deployments.Deployment, caller: callers.Caller, number: int
) -> list[str]:
    """Read a stream, over several tries if it is broken off.

    :returns: the version of the runner that wrote each event.
    """
    deadline = asyncio.get_running_loop().time() + TIMEOUT_S
    first_id = request_id = caller.next_id()
    headers: dict[str, str] = {}
    events: list[tuple[int, str]] = []
    for turn, pause_s in enumerate((0.0, *RESUME_PAUSES_S), number):
        await asyncio.sleep(pause_s)
        left_s = deadline - asyncio.get_running_loop().time()
        host = deployment.vms[turn % len(deployment.vms)].host
        answer = await caller.send(
            host, "POST", "/stream/x", request_id, left_s, headers
        )
        events += answer.events
        if (answer.is_whole and answer.status == 200) or not events:
            break
        request_id = caller.next_id()
        headers = {
            "Last-Event-Id": str(events[-1][0]),
            "Resumes": first_id,
        }
    return [version for _, version in events]


if __name__ == "__main__":
    sys.exit(deployments.main(FOLDER, play))
