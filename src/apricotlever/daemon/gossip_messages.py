"""Converts the daemon's messages to and from rumours and peer messages.

A rumour is a message that the entry VMs spread by gossip until its lifetime
is over. Entry VMs don't share a clock, so rumours state ages and durations
instead of times.
"""

from ..contracts import fleet_shares
from ..links import peer_pb2 as pb
from ..requests import ledger_messages
from ..runners import crashes
from ..runners import model as runners

RUNNER_LIFETIME_MS = 120_000
CRASH_LIFETIME_MS = 600_000
LOAD_LIFETIME_MS = 3_000
PREFIX_LIFETIME_MS = 10_000
DEMAND_LIFETIME_MS = 5_000
LEDGER_LIFETIME_MS = 600_000
MS_PER_S = 1000.0


def runner_leaving_rumour(runner: str, left_s: float) -> pb.Rumour:
    """A rumour that a runner will be reclaimed.

    :param left_s: seconds until the runner is reclaimed.
    """
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=RUNNER_LIFETIME_MS,
        runner_leaving=pb.RunnerLeaving(runner=runner, deadline_s=left_s),
    )


def runner_gone_rumour(runner: str) -> pb.Rumour:
    """A rumour that a runner has ended."""
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=RUNNER_LIFETIME_MS,
        runner_gone=pb.RunnerGone(runner=runner),
    )


def load_rumour(runner: str, report: runners.LoadReport) -> pb.Rumour:
    """A rumour with a runner's load; it replaces the runner's earlier one."""
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=LOAD_LIFETIME_MS,
        replaces_key=f"load/{runner}",
        load=pb.LoadDigest(
            runner=runner,
            running=report.running,
            waiting=report.waiting,
            slots=report.slots,
            age_ms=int(report.age_s * MS_PER_S),
        ),
    )


def decode_load(rumour: pb.Rumour) -> runners.LoadReport:
    """Decode a runner's load.

    :returns: the load report; its age includes the age of the rumour.
    """
    load = rumour.load
    age_s = (load.age_ms + rumour.age_ms) / MS_PER_S
    return runners.LoadReport(
        load.running, load.waiting, load.slots, age_s=age_s
    )


def cache_rumour(runner: str, events: runners.CacheEvents) -> pb.Rumour:
    """A rumour with the prompt blocks that a runner's cache has stored.

    Events of blocks that the cache has dropped are left out.
    """
    stored_blocks = [
        block
        for event in events.events
        if event.stored
        for block in event.blocks
    ]
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=PREFIX_LIFETIME_MS,
        prefix=pb.PrefixDigest(
            runner=runner, seq=events.last, blocks=stored_blocks
        ),
    )


def decode_cache_events(rumour: pb.Rumour) -> runners.CacheEvents:
    """Decode a rumour of :func:`cache_rumour` as one event with all blocks."""
    digest = rumour.prefix
    event = runners.CacheEvent(digest.seq, True, tuple(digest.blocks))
    return runners.CacheEvents((event,), digest.seq)


def demand_rumour(report: fleet_shares.DemandReport) -> pb.Rumour:
    """A rumour with a VM's demand on the fleet's limits.

    It replaces the VM's earlier ones.
    """
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=DEMAND_LIFETIME_MS,
        replaces_key="demand",
        demand=pb.DemandReport(
            vm=report.vm,
            number=report.number,
            demands=[
                pb.LimitDemand(
                    entry=demand.entry,
                    limit=demand.kind.value,
                    demand=demand.amount,
                )
                for demand in report.demands
            ],
        ),
    )


def ledger_moved_rumour(
    owner: ledger_messages.VmIncarnation,
    successor: ledger_messages.VmIncarnation,
) -> pb.Rumour:
    """A rumour that another VM has adopted the ledger of a leaving VM.

    A ledger holds the idempotency keys on which a VM decides. The successor
    is the VM that decides on them from now on.

    :param owner: the incarnation that minted the keys of the ledger.
    :param successor: the incarnation that adopted the ledger.
    """
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=LEDGER_LIFETIME_MS,
        ledger_moved=pb.LedgerMoved(
            vm=owner.vm,
            incarnation=owner.incarnation,
            heir=successor.vm,
            heir_incarnation=successor.incarnation,
        ),
    )


def arrivals_rumour(message: pb.DemandReport) -> pb.Rumour:
    """A rumour with the arrival rates of the pools at a VM.

    It replaces the VM's earlier ones.
    """
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=DEMAND_LIFETIME_MS,
        replaces_key="arrivals",
        demand=message,
    )


def decode_demand(message: pb.DemandReport) -> fleet_shares.DemandReport:
    """Decode a VM's demand; limits unknown to this version are left out."""
    kinds = {kind.value: kind for kind in fleet_shares.LimitKind}
    return fleet_shares.DemandReport(
        message.vm,
        message.number,
        tuple(
            fleet_shares.Demand(
                demand.entry, kinds[demand.limit], demand.demand
            )
            for demand in message.demands
            if demand.limit in kinds
        ),
    )


def encode_crash_report(vm: str, report: crashes.Report) -> pb.CrashReport:
    """Encode a report of a crash, or of a suspect that was answered in full.

    :param vm: this VM's name, stated as the reporter.
    """
    if isinstance(report, crashes.RequestCompleted):
        return pb.CrashReport(vm=vm, survived=report.name, age_s=report.age_s)
    return pb.CrashReport(
        vm=vm,
        runner=report.runner,
        data_centre=report.data_centre,
        age_s=report.age_s,
        noticed=report.noticed,
        charges=[
            pb.Charge(
                fingerprint=charge.fingerprint,
                request_id=charge.request_id,
                attempt=charge.attempt,
                on_trial=charge.on_trial,
                customer_hash=charge.customer_hash,
                parts=charge.parts,
            )
            for charge in report.suspects
        ],
    )


def decode_crash_report(
    message: pb.CrashReport, transit_s: float = 0.0
) -> crashes.Report:
    """Decode a report of a crash, or of a suspect that was answered in full.

    :param transit_s: the age of the message, in seconds; it is added to the
        age of the report.
    """
    age_s = message.age_s + transit_s
    if message.survived:
        return crashes.RequestCompleted(message.survived, age_s)
    return crashes.CrashObservation(
        message.vm,
        message.runner,
        message.data_centre,
        age_s,
        message.noticed,
        tuple(
            crashes.SuspectRequest(
                charge.fingerprint,
                charge.request_id,
                charge.attempt,
                charge.on_trial,
                charge.customer_hash,
                tuple(charge.parts),
            )
            for charge in message.charges
        ),
    )


def crash_rumour(message: pb.CrashReport) -> pb.Rumour:
    """A rumour with a report made by :func:`encode_crash_report`."""
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=CRASH_LIFETIME_MS,
        quarantine=message,
    )
