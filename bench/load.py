"""Sends open-loop load of both users' work to a fleet of real processes.

Starts a fleet (``--vms N --engines N``) or uses a running one
(``--entry HOST:PORT``). Arrivals are Poisson and are never delayed by slow
answers; latencies count from the intended time of each arrival. A run whose
generator lagged fails, as its latencies would be better than the real ones.
"""

import argparse
import json
import pathlib
import sys
import typing

from apricotlever.client import terminal_format

from . import _load_faults
from . import _load_fleet
from . import _load_generator
from . import _load_plots
from . import _load_summary
from . import _load_workload

EXIT_GENERATOR_LAGGED = 3
EXIT_BAD_ANSWERS = 1
Document = dict[str, typing.Any]


def run(arguments: list[str]) -> int:
    """Run a load or compare two recorded runs.

    :returns: the exit code: 0 on success; 1 if answers were lost or wrong,
        or contained a token twice; 2 if an argument or a run file is
        invalid; 3 if the load generator lagged.
    """
    options = _parser().parse_args(arguments)
    try:
        if options.compare:
            return _compare(*options.compare)
        schedule = _load_faults.parse_schedule(options.faults)
    except (
        _load_faults.ScheduleInvalid,
        _load_summary.RunFileInvalid,
    ) as error:
        print(f"load: {error}", file=sys.stderr)
        return 2
    if options.entry and schedule:
        print(
            "load: --faults cannot be combined with --entry", file=sys.stderr
        )
        return 2
    rows, faults, usage = _measure(options, schedule)
    return _write_report(options, rows, faults, usage)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="bench load",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_option = parser.add_argument
    add_option("--entry", action="append", default=[], metavar="HOST:PORT")
    add_option("--vms", type=int, default=3, help="default: %(default)s")
    add_option("--engines", type=int, default=6, help="default: %(default)s")
    add_option("--services", type=int, default=2, help="default: %(default)s")
    add_option(
        "--engine-flags",
        default="",
        help="for standins.engine, quoted as one argument",
    )
    add_option(
        "--threads",
        type=int,
        default=512,
        help="caller threads of each entry VM",
    )
    add_option("--per-s", type=float, default=10.0, help="mean arrival rate")
    add_option("--seconds", type=float, default=20.0)
    add_option("--seed", type=int, default=1)
    add_option(
        "--only",
        default="",
        help=f"some of {','.join(_load_workload.work_kinds())}",
    )
    add_option(
        "--patience", type=float, default=0.0, help="seconds to retry refusals"
    )
    add_option(
        "--processes", type=int, default=3, help="load generator processes"
    )
    add_option("--faults", default="", help="SECONDS:FAULT:ARGUMENT...,...")
    add_option(
        "--out", default="", metavar="FILE.jsonl", help="default: stdout"
    )
    add_option(
        "--report",
        default="",
        metavar="FILE.html",
        help="a file name in .svg gives SVG alone",
    )
    add_option(
        "--keep-logs",
        default="",
        metavar="DIR",
        help="directory to copy the logs to",
    )
    add_option("--compare", nargs=2, metavar=("A.jsonl", "B.jsonl"))
    return parser


def _measure(
    options: argparse.Namespace, schedule: list[_load_faults.ScheduledFault]
) -> tuple[list[Document], list[Document], list[Document]]:
    if options.entry:
        return _start_load(options, options.entry).wait(), [], []
    sizes = {"caller_threads": options.threads}
    with _load_fleet.LoadFleet(sizes=sizes) as fleet:
        flags = options.engine_flags.split()
        fleet.start_all(options.vms, options.engines, options.services, flags)
        cpu_before_s = {
            name: fleet.process(name).cpu_s for name in fleet.daemons
        }
        load_run = _start_load(options, fleet.entry_addresses)
        injector = _load_faults.FaultInjector(
            fleet, schedule, load_run.start_at
        )
        rows = load_run.wait()
        fault_rows = injector.wait()
        usage = [
            _daemon_usage(fleet, name, cpu_before_s[name])
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
        return rows, fault_rows, usage


def _start_load(
    options: argparse.Namespace, entries: list[str]
) -> _load_generator.LoadRun:
    return _load_generator.LoadRun(
        entries,
        options.seed,
        options.per_s,
        options.seconds,
        options.processes,
        options.patience,
        tuple(name for name in options.only.split(",") if name),
    )


def _daemon_usage(
    fleet: _load_fleet.LoadFleet, name: str, cpu_before_s: float
) -> Document:
    process = fleet.process(name)
    return {
        "record": "daemon",
        "vm": name,
        "processor_s": round(process.cpu_s - cpu_before_s, 3),
        "rss_bytes": process.rss_bytes,
    }


def _write_report(
    options: argparse.Namespace,
    rows: list[Document],
    faults: list[Document],
    usage: list[Document],
) -> int:
    summary = _load_summary.summarise(rows, options.seconds)
    summary["command"] = {
        name: value
        for name, value in vars(options).items()
        if name not in ("out", "report", "keep_logs") and value
    }
    records = [*rows, *faults, *usage, summary]
    if options.out:
        _load_summary.write_records(records, pathlib.Path(options.out))
    if options.report:
        _load_plots.write_report(rows, faults, summary, options.report)
    for record in records if not options.out else [*usage, *faults, summary]:
        printed = {k: v for k, v in record.items() if k != "histograms"}
        print(json.dumps(printed))
    return exit_code(summary)


def exit_code(summary: Document) -> int:
    """The exit code of the process for a run's summary."""
    if not summary["generator_ok"]:
        lag = summary["generator_lag_s"]
        print(f"load: the load generator lagged: {lag}", file=sys.stderr)
        return EXIT_GENERATOR_LAGGED
    bad_answers = sum(
        summary["outcomes"].get(name, 0) for name in ("lost", "wrong")
    )
    return EXIT_BAD_ANSWERS if bad_answers or summary["doubled_tokens"] else 0


def _compare(before_path: str, after_path: str) -> int:
    before = _load_summary.read_records(before_path)
    after = _load_summary.read_records(after_path)
    print(
        terminal_format.format_table(
            _load_summary.compare_outcomes(before, after)
        )
    )
    print()
    print(
        terminal_format.format_table(
            _load_summary.compare_latencies(before, after)
        )
    )
    return 0
