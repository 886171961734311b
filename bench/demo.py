"""Demonstrates both users' work on a small fleet that loses VMs.

Starts six entry VMs in three data centres, engines and plain services on
loopback, sends real requests and removes runners and entry VMs in the middle
of streams. Then checks against the runners' journals that each promise was
kept, and exits with 1 if one was not.
"""

import argparse
import json
import sys
import time
import typing

from apricotlever.client import terminal_format

from . import _demo_report
from . import _load_faults
from . import _load_fleet
from . import _load_generator

ENTRY_VMS = 6
ENGINES = 9
SERVICES = 3
#: Pools of the engines that the cloud API sells when the fleet orders VMs.
OFFERED_POOLS = ("apricot-pool", "apricot-pool", "concierge-llm")
DURATION_S = 24.0
RATE_PER_S = 9.0
PATIENCE_S = 10.0
GENERATOR_PROCESSES = 2
FAULTS = (
    "5:wave:sala-c:4,"
    "12:kill:engine-0,"
    "15:stop:entry-1,"
    "18:notice:entry-2:5"
)
Document = dict[str, typing.Any]


def run(arguments: list[str]) -> int:
    """Run the demo.

    :returns: the exit code: 0 if every promise was kept, else 1.
    """
    options = _parser().parse_args(arguments)
    started_at = time.monotonic()
    with _load_fleet.LoadFleet() as fleet:
        version = fleet.start_all(ENTRY_VMS, ENGINES, SERVICES)
        fleet.offer_engines(OFFERED_POOLS)
        _log(f"fleet is ready after {time.monotonic() - started_at:.1f} s")
        report = _measure(fleet, options, version)
    report["took_s"] = round(time.monotonic() - started_at, 1)
    print(json.dumps(report) if options.json else _render_text(report))
    return 0 if report["kept"] else 1


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=DURATION_S)
    parser.add_argument("--per-s", type=float, default=RATE_PER_S)
    parser.add_argument(
        "--faults", default=FAULTS, help="default: %(default)s"
    )
    parser.add_argument(
        "--keep-logs",
        default="",
        metavar="DIR",
        help="directory to copy the logs to",
    )
    return parser


def _measure(
    fleet: _load_fleet.LoadFleet, options: argparse.Namespace, version: int
) -> Document:
    schedule = _load_faults.parse_schedule(options.faults)
    load_run = _load_generator.LoadRun(
        fleet.entry_addresses,
        options.seed,
        options.per_s,
        options.seconds,
        GENERATOR_PROCESSES,
        PATIENCE_S,
    )
    injector = _load_faults.FaultInjector(fleet, schedule, load_run.start_at)
    rows = load_run.wait()
    fault_rows = injector.wait()
    for each in fault_rows:
        _log(f"{each['at_s']:g} s: {each['fault']} {each.get('vms')}")
    executions = _demo_report.read_executions(fleet)
    checks = _demo_report.check_promises(rows, fault_rows, executions)
    checks.append(_check_catalogue(fleet, version))
    if options.keep_logs:
        fleet.copy_logs(options.keep_logs)
    counts = fleet.engine_counts()
    lag_s = _demo_report.percentile((row["lag_s"] for row in rows), 99)
    return {
        "kept": all(not each.broken for each in checks),
        "works": _demo_report.work_rows(rows, executions),
        "faults": fault_rows,
        "bought": sorted(set(fleet.billed_vms) & set(fleet.offered_engines)),
        "recomputed_tokens": counts.recomputed,
        "generated_tokens": counts.generated,
        "prefilled_tokens": counts.prefilled,
        "cached_tokens": counts.cached,
        "cost": _compute_cost(fleet, fault_rows),
        "generator_lag_p99_s": lag_s,
        "promises": [each.as_record() for each in checks],
    }


def _check_catalogue(
    fleet: _load_fleet.LoadFleet, version: int
) -> _demo_report.PromiseCheck:
    output = fleet.run_client("in-force", f"--wait={version}", check=False)
    broken = [str(output["error"])] if "error" in output else []
    promise = "the catalogue is in force at every entry VM"
    return _demo_report.PromiseCheck(promise, broken)


def _compute_cost(
    fleet: _load_fleet.LoadFleet, faults: list[Document]
) -> dict[str, float]:
    """Compute the cost of all VMs and the cost that requests caused.

    The requests' cost at an entry VM that was shut down is taken from the
    fault's record: the VM's status page was read just before the shutdown.
    """
    rows = fleet.run_client("cost")["cost"]
    rows += [row for fault in faults for row in fault.get("cost_rows", ())]
    return {
        "vms": round(fleet.total_cost(), 6),
        "requests": round(sum(row["cost"] for row in rows), 6),
    }


def _render_text(report: Document) -> str:
    work_table = terminal_format.format_table(report["works"])
    figures = {
        "recomputed tokens": report["recomputed_tokens"],
        "generated tokens": report["generated_tokens"],
        "prompt tokens computed": report["prefilled_tokens"],
        "prompt tokens from caches": report["cached_tokens"],
        "cost of all VMs": report["cost"]["vms"],
        "cost caused by requests": report["cost"]["requests"],
        "lag of the load generator, p99 s": report["generator_lag_p99_s"],
        "engines bought during the run": len(report["bought"]),
        "seconds": report["took_s"],
    }
    lines = [f"{name:34} {value:g}" for name, value in figures.items()]
    promises = [
        f"{'kept  ' if each['kept'] else 'BROKEN'} {each['promise']}"
        + "".join(f"\n         {case}" for case in each["broken"])
        for each in report["promises"]
    ]
    return "\n".join([work_table, "", *lines, "", *promises])


def _log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
