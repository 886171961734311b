"""What a demo found, and whether each promise was kept."""

import collections
import itertools
import typing

from . import _load_calls
from . import _load_fleet

Document = dict[str, typing.Any]
PERCENT = 100.0


class Far:
    """What the far end counted.

    :param executions: by request, at the engines.
    :param runs: by operation, at the plain services.
    """

    __slots__ = ("executions", "runs")

    def __init__(
        self, executions: dict[str, int], runs: dict[str, int]
    ) -> None:
        self.executions = executions
        self.runs = runs


class Check:
    """A promise and the cases that break it."""

    __slots__ = ("promise", "broken")

    def __init__(self, promise: str, broken: list[str]) -> None:
        self.promise = promise
        self.broken = broken

    def document(self) -> Document:
        """As JSON."""
        return {
            "promise": self.promise,
            "kept": not self.broken,
            "broken": self.broken[:10],
        }


def far_end(fleet: _load_fleet.LoadFleet) -> Far:
    """Read the journals of all runners, of the killed ones as well."""
    engines = set(fleet.engines)
    executions: collections.Counter[str] = collections.Counter()
    runs: collections.Counter[str] = collections.Counter()
    for name, machine in fleet.machines.items():
        if machine.pool:
            counted = executions if name in engines else runs
            counted.update(fleet.journal(name))
    return Far(executions, runs)


def checks(rows: list[Document], faults: list[Document], far: Far) -> list:
    """Every promise, with the cases that break it."""
    streams = [row for row in rows if row["class"] and not row["operation"]]
    lost = [
        f"{row['work']} {row['number']} {row['outcome']}: {row['problem']}"
        f" {row['error']}"
        for row in rows
        if row["outcome"] in (_load_calls.LOST, _load_calls.WRONG)
    ]
    doubled = [
        f"{row['work']} {row['number']}: {row['doubled_tokens']} tokens"
        for row in streams
        if row["doubled_tokens"]
    ]
    return [
        Check("accepted requests are answered whole and in order", lost),
        Check("no token reaches a caller twice", doubled),
        Check("non-idempotent calls run at most once", _twice(far)),
        Check("an acknowledged call did run", _unrun(rows, far)),
        Check("refused with executed=no was not run", _run(rows, far)),
        Check("leaving runners get no new work", _late(faults)),
        Check("entry VMs stop gracefully", _cut_off(faults)),
        Check("every fault came true", _failed(faults)),
    ]


def works(rows: list[Document], far: Far) -> list[Document]:
    """One row for each kind of work, and one for all."""
    keyed = sorted(rows, key=lambda row: row["work"])
    groups = {
        name: list(group)
        for name, group in itertools.groupby(keyed, lambda r: r["work"])
    }
    groups["all"] = rows
    return [_work(name, group, far) for name, group in groups.items()]


def percentile(values: typing.Iterable[float], percent: float) -> float | None:
    """The value whose rank is nearest; None without values."""
    ordered = sorted(values)
    if not ordered:
        return None
    rank = max(1, round(percent / PERCENT * len(ordered)))
    return ordered[rank - 1]


def _work(name: str, rows: list[Document], far: Far) -> Document:
    counted = collections.Counter(row["outcome"] for row in rows)
    first = [
        row["first_token_s"] or row["whole_s"]
        for row in rows
        if row["outcome"] == _load_calls.WHOLE
    ]
    operations = {row["operation"] for row in rows if row["operation"]}
    twice = sum(max(0, far.runs.get(each, 0) - 1) for each in operations)
    return {
        "work": name,
        "requests": len(rows),
        "whole": counted[_load_calls.WHOLE],
        "refused": counted[_load_calls.REFUSED],
        "unknown": counted[_load_calls.UNKNOWN],
        "lost": counted[_load_calls.LOST] + counted[_load_calls.WRONG],
        "duplicates": twice + sum(row["doubled_tokens"] for row in rows),
        "moves": sum(row["moves"] for row in rows),
        "breaks": sum(row["breaks"] for row in rows),
        "first_p50_s": percentile(first, 50),
        "first_p95_s": percentile(first, 95),
    }


def _twice(far: Far) -> list[str]:
    return [f"{name}: {n} runs" for name, n in far.runs.items() if n > 1]


def _unrun(rows: list[Document], far: Far) -> list[str]:
    return [
        f"{row['operation']} was acknowledged and never ran"
        for row in rows
        if row["operation"]
        and row["outcome"] == _load_calls.WHOLE
        and not far.runs.get(row["operation"])
    ]


def _run(rows: list[Document], far: Far) -> list[str]:
    refused = [row for row in rows if row["outcome"] == _load_calls.REFUSED]
    return [
        f"{row['work']} {row['number']} was refused and ran"
        for row in refused
        if far.runs.get(row["operation"]) or far.executions.get(row["request"])
    ]


def _late(faults: list[Document]) -> list[str]:
    return [
        f"{fault['vms']}: {fault['new_work_after']}"
        for fault in faults
        if fault.get("new_work_after")
    ]


def _cut_off(faults: list[Document]) -> list[str]:
    return [
        f"{fault['vms']} ended with {fault['exit_code']}"
        for fault in faults
        if fault.get("exit_code")
    ]


def _failed(faults: list[Document]) -> list[str]:
    return [
        f"{fault['fault']} {fault['arguments']}: {fault['failed']}"
        for fault in faults
        if fault.get("failed")
    ]
