"""Open-loop load of both users' work on a fleet of real processes.

Drives a fleet that it starts (``--vms N --engines N``) or one that runs
(``--entry HOST:PORT``). Arrivals are Poisson and are never held back by
slow answers; latencies count from the intended time of each arrival. A run
whose generator was late fails, for its figures would flatter the system.
"""

import argparse
import json
import pathlib
import sys
import typing

from apricotlever.client import terminal_format

from . import _load_drive
from . import _load_faults
from . import _load_fleet
from . import _load_plots
from . import _load_summary
from . import _load_work

LATE = 3
WRONG = 1
Document = dict[str, typing.Any]


def run(arguments: list[str]) -> int:
    """Make a run or compare two.

    :returns: 0; 1 if answers were lost, wrong or doubled; 2 for a wrong
        command line; 3 if the generator lagged.
    """
    options = _parser().parse_args(arguments)
    try:
        if options.compare:
            return _compare(*options.compare)
        schedule = _load_faults.parse(options.faults)
    except (
        _load_faults.ScheduleInvalid,
        _load_summary.RunFileInvalid,
    ) as error:
        print(f"load: {error}", file=sys.stderr)
        return 2
    if options.entry and schedule:
        print("load: --faults need a fleet of its own", file=sys.stderr)
        return 2
    rows, faults, usage = _measure(options, schedule)
    return _report(options, rows, faults, usage)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="bench load",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add = parser.add_argument
    add("--entry", action="append", default=[], metavar="HOST:PORT")
    add("--vms", type=int, default=3, help="default: %(default)s")
    add("--engines", type=int, default=6, help="default: %(default)s")
    add("--services", type=int, default=2, help="default: %(default)s")
    add("--engine-flags", default="", help="of standins.engine, in one word")
    add("--threads", type=int, default=512, help="of each entry VM")
    add("--per-s", type=float, default=10.0, help="mean rate of arrivals")
    add("--seconds", type=float, default=20.0)
    add("--seed", type=int, default=1)
    add("--only", default="", help=f"of {','.join(_load_work.kinds())}")
    add("--patience", type=float, default=0.0, help="s to repeat refusals")
    add("--processes", type=int, default=3, help="of the generator")
    add("--faults", default="", help="SECONDS:FAULT:ARGUMENT...,...")
    add("--out", default="", metavar="FILE.jsonl", help="stdout if not given")
    add("--report", default="", metavar="FILE.html", help="or .svg")
    add("--keep-logs", default="", metavar="DIR", help="copy the logs there")
    add("--compare", nargs=2, metavar=("A.jsonl", "B.jsonl"))
    return parser


def _measure(
    options: argparse.Namespace, schedule: list[_load_faults.Planned]
) -> tuple[list[Document], list[Document], list[Document]]:
    if options.entry:
        return _drive(options, options.entry).wait(), [], []
    sizes = {"caller_threads": options.threads}
    with _load_fleet.LoadFleet(sizes=sizes) as fleet:
        flags = options.engine_flags.split()
        fleet.bring_up(options.vms, options.engines, options.services, flags)
        before = {name: fleet.process(name).cpu_s for name in fleet.daemons}
        load = _drive(options, fleet.entries)
        faults = _load_faults.Faults(fleet, schedule, load.start_at)
        rows = load.wait()
        struck = faults.wait()
        usage = [
            _usage(fleet, name, before[name])
            for name in fleet.daemons
            if fleet.process(name).running
        ]
        if options.keep_logs:
            fleet.copy_logs(options.keep_logs)
        counts = fleet.engine_counts()
        usage.append(
            {
                "record": "engines",
                "recomputed_tokens": counts.recomputed,
                "generated_tokens": counts.generated,
                "prefilled_tokens": counts.prefilled,
                "cached_tokens": counts.cached,
            }
        )
        return rows, struck, usage


def _drive(options: argparse.Namespace, entries: list[str]) -> _load_drive.Run:
    return _load_drive.Run(
        entries,
        options.seed,
        options.per_s,
        options.seconds,
        options.processes,
        options.patience,
        tuple(name for name in options.only.split(",") if name),
    )


def _usage(
    fleet: _load_fleet.LoadFleet, name: str, before_s: float
) -> Document:
    process = fleet.process(name)
    return {
        "record": "daemon",
        "vm": name,
        "processor_s": round(process.cpu_s - before_s, 3),
        "rss_bytes": process.rss_bytes,
    }


def _report(
    options: argparse.Namespace,
    rows: list[Document],
    faults: list[Document],
    usage: list[Document],
) -> int:
    total = _load_summary.summary(rows, options.seconds)
    total["command"] = {
        name: value
        for name, value in vars(options).items()
        if name not in ("out", "report", "keep_logs") and value
    }
    records = [*rows, *faults, *usage, total]
    if options.out:
        _load_summary.lines(records, pathlib.Path(options.out))
    if options.report:
        _load_plots.write(rows, faults, total, options.report)
    for record in records if not options.out else [*usage, *faults, total]:
        shown = {k: v for k, v in record.items() if k != "histograms"}
        print(json.dumps(shown))
    return exit_code(total)


def exit_code(total: Document) -> int:
    """What a run's summary makes of the process's exit code."""
    if not total["generator_ok"]:
        lag = total["generator_lag_s"]
        print(f"load: the generator lagged: {lag}", file=sys.stderr)
        return LATE
    bad = sum(total["outcomes"].get(name, 0) for name in ("lost", "wrong"))
    return WRONG if bad or total["doubled_tokens"] else 0


def _compare(before_path: str, after_path: str) -> int:
    before = _load_summary.read(before_path)
    after = _load_summary.read(after_path)
    print(
        terminal_format.format_table(
            _load_summary.compared_outcomes(before, after)
        )
    )
    print()
    print(terminal_format.format_table(_load_summary.compared(before, after)))
    return 0
