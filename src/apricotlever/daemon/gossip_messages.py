"""The daemon's messages as rumours of the membership, and back."""

from ..contracts import fleet_shares
from ..links import peer_pb2 as pb
from ..requests import ledger_messages as keyed
from ..runners import crashes
from ..runners import model as runners

RUNNER_LIFETIME_MS = 120_000
CRASH_LIFETIME_MS = 600_000
LOAD_LIFETIME_MS = 3_000
PREFIX_LIFETIME_MS = 10_000
DEMAND_LIFETIME_MS = 5_000
LEDGER_LIFETIME_MS = 600_000
MS_PER_S = 1000.0


def of_runner_leaving(runner: str, left_s: float) -> pb.Rumour:
    """A runner's reclaim notice, for the whole fleet.

    :param left_s: seconds until it is taken.
    """
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=RUNNER_LIFETIME_MS,
        runner_leaving=pb.RunnerLeaving(runner=runner, deadline_s=left_s),
    )


def of_runner_gone(runner: str) -> pb.Rumour:
    """A runner's end, for the whole fleet."""
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=RUNNER_LIFETIME_MS,
        runner_gone=pb.RunnerGone(runner=runner),
    )


def of_load(runner: str, report: runners.LoadReport) -> pb.Rumour:
    """A runner's load; a newer one replaces it."""
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


def load_of(rumour: pb.Rumour) -> runners.LoadReport:
    """The load report in a rumour, aged by its way here."""
    load = rumour.load
    age_s = (load.age_ms + rumour.age_ms) / MS_PER_S
    return runners.LoadReport(
        load.running, load.waiting, load.slots, age_s=age_s
    )


def of_cache(runner: str, events: runners.CacheEvents) -> pb.Rumour:
    """Blocks that a runner has stored lately."""
    stored = [
        block
        for event in events.events
        if event.stored
        for block in event.blocks
    ]
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=PREFIX_LIFETIME_MS,
        prefix=pb.PrefixDigest(runner=runner, seq=events.last, blocks=stored),
    )


def cache_of(rumour: pb.Rumour) -> runners.CacheEvents:
    """The cache events in a rumour."""
    digest = rumour.prefix
    event = runners.CacheEvent(digest.seq, True, tuple(digest.blocks))
    return runners.CacheEvents((event,), digest.seq)


def of_demand(report: fleet_shares.DemandReport) -> pb.Rumour:
    """A VM's demand on the fleet's limits; a newer one replaces it."""
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


def of_ledger_moved(
    owner: keyed.VmIncarnation, heir: keyed.VmIncarnation
) -> pb.Rumour:
    """Where the keys of a VM that left are kept now."""
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=LEDGER_LIFETIME_MS,
        ledger_moved=pb.LedgerMoved(
            vm=owner.vm,
            incarnation=owner.incarnation,
            heir=heir.vm,
            heir_incarnation=heir.incarnation,
        ),
    )


def of_arrivals(message: pb.DemandReport) -> pb.Rumour:
    """What callers ask of a VM's pools; a newer one replaces it."""
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=DEMAND_LIFETIME_MS,
        replaces_key="arrivals",
        demand=message,
    )


def demand_of(message: pb.DemandReport) -> fleet_shares.DemandReport:
    """The report in a message; limits unknown here are left out."""
    known = {kind.value: kind for kind in fleet_shares.LimitKind}
    return fleet_shares.DemandReport(
        message.vm,
        message.number,
        tuple(
            fleet_shares.Demand(
                demand.entry, known[demand.limit], demand.demand
            )
            for demand in message.demands
            if demand.limit in known
        ),
    )


def crash_message(vm: str, report: crashes.Report) -> pb.CrashReport:
    """A report of a death or a survival as a message.

    :param vm: this VM's name.
    """
    if isinstance(report, crashes.RequestCompleted):
        return pb.CrashReport(
            vm=vm, survived=report.fingerprint, age_s=report.age_s
        )
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
            )
            for charge in report.suspects
        ],
    )


def crash_of(message: pb.CrashReport, way_s: float = 0.0) -> crashes.Report:
    """The report in a message.

    :param way_s: how long the message was on its way.
    """
    age_s = message.age_s + way_s
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
            )
            for charge in message.charges
        ),
    )


def of_crash(message: pb.CrashReport) -> pb.Rumour:
    """A report of a death or a survival, for the whole fleet."""
    return pb.Rumour(
        scope=pb.SCOPE_FLEET,
        lifetime_ms=CRASH_LIFETIME_MS,
        quarantine=message,
    )
