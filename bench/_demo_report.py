"""Checks a demo run's promises and summarises its requests."""

import collections
import itertools
import typing

from . import _load_client
from . import _load_fleet

Document = dict[str, typing.Any]
PERCENT = 100.0


class Executions:
    """How often the runners executed requests, according to their journals.

    :param by_request: executions at the engines, by request ID.
    :param by_operation: executions at the plain services, by operation.
    """

    __slots__ = ("by_request", "by_operation")

    def __init__(
        self, by_request: dict[str, int], by_operation: dict[str, int]
    ) -> None:
        self.by_request = by_request
        self.by_operation = by_operation


class PromiseCheck:
    """A promise and the cases that broke it."""

    __slots__ = ("promise", "broken")

    def __init__(self, promise: str, broken: list[str]) -> None:
        self.promise = promise
        self.broken = broken

    def as_record(self) -> Document:
        """The check as a JSON object, with at most 10 cases."""
        return {
            "promise": self.promise,
            "kept": not self.broken,
            "broken": self.broken[:10],
        }


def read_executions(fleet: _load_fleet.LoadFleet) -> Executions:
    """Read the journals of all runners, including killed ones."""
    engines = set(fleet.engines)
    by_request: collections.Counter[str] = collections.Counter()
    by_operation: collections.Counter[str] = collections.Counter()
    for name, machine in fleet.billed_vms.items():
        if machine.pool:
            counts = by_request if name in engines else by_operation
            counts.update(fleet.execution_counts(name))
    return Executions(by_request, by_operation)


def check_promises(
    rows: list[Document], faults: list[Document], executions: Executions
) -> list:
    """Check every promise.

    :param rows: the records of the requests.
    :param faults: the records of the faults.
    """
    streams = [row for row in rows if row["class"] and not row["operation"]]
    incomplete = [
        f"{row['work']} {row['number']} {row['outcome']}: {row['problem']}"
        f" {row['error']}"
        for row in rows
        if row["outcome"] in (_load_client.LOST, _load_client.WRONG)
    ]
    duplicated = [
        f"{row['work']} {row['number']}: {row['doubled_tokens']} tokens"
        for row in streams
        if row["doubled_tokens"]
    ]
    return [
        PromiseCheck(
            "accepted requests are answered whole and in order", incomplete
        ),
        PromiseCheck("no token reaches a caller twice", duplicated),
        PromiseCheck(
            "non-idempotent calls run at most once",
            _repeated_operations(executions),
        ),
        PromiseCheck(
            "an acknowledged call did run",
            _acknowledged_unexecuted(rows, executions),
        ),
        PromiseCheck(
            "refused with executed=no was not run",
            _refused_executed(rows, executions),
        ),
        PromiseCheck(
            "leaving runners get no new work", _work_after_notice(faults)
        ),
        PromiseCheck("entry VMs stop gracefully", _failed_stops(faults)),
        PromiseCheck("every fault came true", _failed_faults(faults)),
    ]


def work_rows(rows: list[Document], executions: Executions) -> list[Document]:
    """Make a row for each kind of work and one for all requests."""
    ordered = sorted(rows, key=lambda row: row["work"])
    groups = {
        name: list(group)
        for name, group in itertools.groupby(ordered, lambda r: r["work"])
    }
    groups["all"] = rows
    return [
        _work_row(name, group, executions) for name, group in groups.items()
    ]


def percentile(values: typing.Iterable[float], percent: float) -> float | None:
    """The nearest-rank percentile; None if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return None
    rank = max(1, round(percent / PERCENT * len(ordered)))
    return ordered[rank - 1]


def _work_row(
    name: str, rows: list[Document], executions: Executions
) -> Document:
    counts = collections.Counter(row["outcome"] for row in rows)
    first = [
        row["first_token_s"] or row["whole_s"]
        for row in rows
        if row["outcome"] == _load_client.WHOLE
    ]
    operations = {row["operation"] for row in rows if row["operation"]}
    repeated = sum(
        max(0, executions.by_operation.get(each, 0) - 1) for each in operations
    )
    return {
        "work": name,
        "requests": len(rows),
        "whole": counts[_load_client.WHOLE],
        "refused": counts[_load_client.REFUSED],
        "unknown": counts[_load_client.UNKNOWN],
        "lost": counts[_load_client.LOST] + counts[_load_client.WRONG],
        "duplicates": repeated + sum(row["doubled_tokens"] for row in rows),
        "moves": sum(row["moves"] for row in rows),
        "breaks": sum(row["breaks"] for row in rows),
        "first_p50_s": percentile(first, 50),
        "first_p95_s": percentile(first, 95),
    }


def _repeated_operations(executions: Executions) -> list[str]:
    return [
        f"{name}: {n} executions"
        for name, n in executions.by_operation.items()
        if n > 1
    ]


def _acknowledged_unexecuted(
    rows: list[Document], executions: Executions
) -> list[str]:
    return [
        f"{row['operation']} was acknowledged but not executed"
        for row in rows
        if row["operation"]
        and row["outcome"] == _load_client.WHOLE
        and not executions.by_operation.get(row["operation"])
    ]


def _refused_executed(
    rows: list[Document], executions: Executions
) -> list[str]:
    refused = [row for row in rows if row["outcome"] == _load_client.REFUSED]
    return [
        f"{row['work']} {row['number']} was refused but executed"
        for row in refused
        if executions.by_operation.get(row["operation"])
        or executions.by_request.get(row["request"])
    ]


def _work_after_notice(faults: list[Document]) -> list[str]:
    return [
        f"{fault['vms']}: {fault['new_work_after']}"
        for fault in faults
        if fault.get("new_work_after")
    ]


def _failed_stops(faults: list[Document]) -> list[str]:
    return [
        f"{fault['vms']} ended with {fault['exit_code']}"
        for fault in faults
        if fault.get("exit_code")
    ]


def _failed_faults(faults: list[Document]) -> list[str]:
    return [
        f"{fault['fault']} {fault['arguments']}: {fault['failed']}"
        for fault in faults
        if fault.get("failed")
    ]
