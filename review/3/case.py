"""An entry with an unreadable text; streams of a stopped VM are lost."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import caller as callers  # noqa: E402
from standins import deployment as deployments  # noqa: E402
from standins import runner as runners  # noqa: E402
from standins import vm as vms  # noqa: E402

STREAMS = 24
NEW_STREAMS = 12
EVENT_COUNT = 110
EVENT_INTERVAL_S = 0.1
TIMEOUT_S = 15.0
#: How long the entry is there before the streams begin.
SETTLE_S = 5.0
#: Time from the beginning of the streams to the SIGTERM, and from there to
#: the SIGKILL, the platform's `grace_s`.
TERM_AFTER_S = 1.0
GRACE_S = 8.0
#: Tries of a caller to take a stream up again, and the pauses before them.
RESUME_PAUSES_S = (0.1, 0.5, 1.0)
#: A text that ends in one half of a UTF-16 pair, as when a writer cuts it in
#: the middle of a character. The store sends it as the bytes ED A0 BD, which
#: are not valid UTF-8.
UNREADABLE_VERSION = "v1\ud83d"


async def play(
    deployment: deployments.Deployment, trouble: bool
) -> tuple[bool, str]:
    """Stop a VM, and compare the streams that go on with new ones."""
    route = deployments.route("/stream/", "streaming", 2, 15000, True)
    await deployment.start_platform([route])
    for number, zone in ((1, "zone-a"), (2, "zone-b")):
        await deployment.add_runner(
            runners.Runner(
                f"i-{number}",
                "v1",
                deployment.log,
                pause_s=EVENT_INTERVAL_S,
                event_count=EVENT_COUNT,
            ),
            zone,
        )
    await deployment.start_vms(3)
    await asyncio.sleep(2.0)
    writer = None
    if trouble:
        writer = asyncio.ensure_future(_write_entry(deployment))
    await asyncio.sleep(SETTLE_S)
    stopped, *others = deployment.vms
    caller = callers.Caller(deployment.log)
    streams = [
        asyncio.ensure_future(_stream(deployment, caller, stopped, others))
        for _ in range(STREAMS)
    ]
    await asyncio.sleep(TERM_AFTER_S)
    stopped.signal(signal.SIGTERM)
    deployment.log.write(f"SIGTERM to {stopped.name}")
    took_s = await _wait_for_end(stopped)
    deployment.log.write(
        f"{stopped.name} has ended by itself after {took_s:.1f} s"
        if took_s is not None
        else f"{stopped.name} runs on; SIGKILL after {GRACE_S} s"
    )
    stopped.kill()
    new = await asyncio.gather(
        *(
            caller.send(
                others[number % 2].host,
                "POST",
                "/stream/x",
                caller.next_id(),
                TIMEOUT_S,
            )
            for number in range(NEW_STREAMS)
        )
    )
    found = await asyncio.gather(*streams)
    if writer is not None:
        writer.cancel()
    begun = sum(bool(each.events) for each in new) / len(new)
    resumed = [gone_on for taken_up, gone_on in found if taken_up]
    share = sum(resumed) / max(1, len(resumed))
    ended = "by itself" if took_s is not None else "by SIGKILL only"
    text = (
        f"{sum(resumed)} of {len(resumed)} streams taken up again went on,"
        f" {begun:.2f} of new streams began; the VM ended {ended}"
    )
    if len(resumed) < 12 or begun < 0.5:
        raise OSError(f"too few streams to judge: {text}")
    return share >= 0.5 * begun, text


async def _write_entry(deployment: deployments.Deployment) -> None:
    """Write an entry as another program does, again and again."""
    other = runners.Runner("i-9", UNREADABLE_VERSION, deployment.log)
    other.host = deployments.RUNNER_HOST
    other.port = vms.free_port(other.host)
    deployment.log.write("another writer writes the entry i-9 from now on")
    while True:
        await deployment.store.put(
            "servers", other.name, other.entry(deployments.SERVICE, "zone-a")
        )
        await asyncio.sleep(deployments.HEARTBEAT_S)


async def _wait_for_end(stopped: vms.Vm) -> float | None:
    """Wait until a VM has ended.

    :returns: after how many seconds; None if it has not within `grace_s`.
    """
    loop = asyncio.get_running_loop()
    began = loop.time()
    while loop.time() - began < GRACE_S:
        if not stopped.is_running:
            return loop.time() - began
        await asyncio.sleep(0.02)
    return None


async def _stream(
    deployment: deployments.Deployment,
    caller: callers.Caller,
    first: vms.Vm,
    others: list[vms.Vm],
) -> tuple[bool, bool]:
    """Read a stream, and take it up at another VM if it is broken off.

    :returns: whether it was taken up, and whether it went on then.
    """
    deadline = asyncio.get_running_loop().time() + TIMEOUT_S
    first_id = caller.next_id()
    answer = await caller.send(
        first.host, "POST", "/stream/x", first_id, TIMEOUT_S
    )
    if answer.is_whole or not answer.events:
        return False, False
    last = answer.events[-1][0]
    for number, pause_s in enumerate(RESUME_PAUSES_S):
        await asyncio.sleep(pause_s)
        answer = await caller.send(
            others[number % len(others)].host,
            "POST",
            "/stream/x",
            caller.next_id(),
            deadline - asyncio.get_running_loop().time(),
            {"Last-Event-Id": str(last), "Resumes": first_id},
        )
        if answer.events:
            return True, True
    return True, False


if __name__ == "__main__":
    sys.exit(deployments.main(FOLDER, play))
