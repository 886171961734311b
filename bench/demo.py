"""Both users' work on a small fleet while runners and an entry VM vanish.

Starts six entry VMs in three data centres, engines and plain services on
loopback, sends real requests, takes VMs away in the middle of streams and
checks at the far end that each promise was kept. Exits with 1 if not.
"""

import argparse
import json
import sys
import time
import typing

from apricotlever.client import terminal_format

from . import _demo_report
from . import _load_drive
from . import _load_faults
from . import _load_fleet

VMS = 6
ENGINES = 9
SERVICES = 3
#: Engines that the cloud sells when the fleet asks for more.
SPARES = ("apricot-pool", "apricot-pool", "concierge-llm")
SECONDS = 24.0
PER_S = 9.0
PATIENCE_S = 10.0
PROCESSES = 2
FAULTS = (
    "5:wave:sala-c:4,"
    "12:kill:engine-0,"
    "15:stop:entry-1,"
    "18:notice:entry-2:5"
)
Document = dict[str, typing.Any]


def run(arguments: list[str]) -> int:
    """Run the demo.

    :returns: 0 if every promise was kept, else 1.
    """
    options = _parser().parse_args(arguments)
    began = time.monotonic()
    with _load_fleet.LoadFleet() as fleet:
        version = fleet.bring_up(VMS, ENGINES, SERVICES)
        fleet.offer_engines(SPARES)
        _say(f"fleet is up after {time.monotonic() - began:.1f} s")
        report = _measure(fleet, options, version)
    report["took_s"] = round(time.monotonic() - began, 1)
    print(json.dumps(report) if options.json else _text(report))
    return 0 if report["kept"] else 1


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--per-s", type=float, default=PER_S)
    parser.add_argument(
        "--faults", default=FAULTS, help="default: %(default)s"
    )
    parser.add_argument(
        "--keep-logs", default="", metavar="DIR", help="copy the logs there"
    )
    return parser


def _measure(
    fleet: _load_fleet.LoadFleet, options: argparse.Namespace, version: int
) -> Document:
    schedule = _load_faults.parse(options.faults)
    load = _load_drive.Run(
        fleet.entries,
        options.seed,
        options.per_s,
        options.seconds,
        PROCESSES,
        PATIENCE_S,
    )
    faults = _load_faults.Faults(fleet, schedule, load.start_at)
    rows = load.wait()
    struck = faults.wait()
    for each in struck:
        _say(f"{each['at_s']:g} s: {each['fault']} {each.get('vms')}")
    far = _demo_report.far_end(fleet)
    checks = _demo_report.checks(rows, struck, far)
    checks.append(_in_force(fleet, version))
    if options.keep_logs:
        fleet.copy_logs(options.keep_logs)
    counts = fleet.engine_counts()
    lag = _demo_report.percentile((row["lag_s"] for row in rows), 99)
    return {
        "kept": all(not each.broken for each in checks),
        "works": _demo_report.works(rows, far),
        "faults": struck,
        "bought": sorted(set(fleet.machines) & set(fleet.spares)),
        "recomputed_tokens": counts.recomputed,
        "generated_tokens": counts.generated,
        "prefilled_tokens": counts.prefilled,
        "cached_tokens": counts.cached,
        "cost": _cost(fleet, struck),
        "generator_lag_p99_s": lag,
        "promises": [each.document() for each in checks],
    }


def _in_force(
    fleet: _load_fleet.LoadFleet, version: int
) -> _demo_report.Check:
    found = fleet.client("in-force", f"--wait={version}", check=False)
    broken = [str(found["error"])] if "error" in found else []
    promise = "the catalogue is in force at every entry VM"
    return _demo_report.Check(promise, broken)


def _cost(
    fleet: _load_fleet.LoadFleet, faults: list[Document]
) -> dict[str, float]:
    """Of the VMs, and the part that requests caused.

    The entry VMs that left tell theirs just before.
    """
    rows = fleet.client("cost")["cost"]
    rows += [row for fault in faults for row in fault.get("cost_rows", ())]
    return {
        "vms": round(fleet.bill(), 6),
        "requests": round(sum(row["cost"] for row in rows), 6),
    }


def _text(report: Document) -> str:
    works = terminal_format.format_table(report["works"])
    figures = {
        "recomputed tokens": report["recomputed_tokens"],
        "generated tokens": report["generated_tokens"],
        "prompt tokens computed": report["prefilled_tokens"],
        "prompt tokens from caches": report["cached_tokens"],
        "cost of all VMs": report["cost"]["vms"],
        "cost caused by requests": report["cost"]["requests"],
        "lateness of the generator, p99 s": report["generator_lag_p99_s"],
        "engines bought meanwhile": len(report["bought"]),
        "seconds": report["took_s"],
    }
    lines = [f"{name:34} {value:g}" for name, value in figures.items()]
    promises = [
        f"{'kept  ' if each['kept'] else 'BROKEN'} {each['promise']}"
        + "".join(f"\n         {case}" for case in each["broken"])
        for each in report["promises"]
    ]
    return "\n".join([works, "", *lines, "", *promises])


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


if __name__ == "__main__":
    sys.exit(run(sys.argv[1:]))
