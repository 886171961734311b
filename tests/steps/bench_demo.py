"""Steps that break the demo's promises one at a time."""

import typing

import behave

from bench import _demo_report
from tests.bench import rows

Broken = typing.Callable[["_Run"], None]
_EVENTS: dict[str, Broken] = {}


class _Run:
    """A demo's records in which all went well."""

    def __init__(self) -> None:
        self.rows = [rows.row(), rows.registration("op-1", request="r-1")]
        self.faults = [{"fault": "stop", "vms": ["e"], "arguments": ["e"]}]
        self.far = _demo_report.Far({"r-0": 1}, {"op-1": 1})

    def add(self, row: rows.Row) -> None:
        """Add a request's record."""
        self.rows.append(row)


def _event(name: str) -> typing.Callable[[Broken], Broken]:
    def register(change: Broken) -> Broken:
        _EVENTS[name] = change
        return change

    return register


@_event("a stream was lost")
def _lost(run: _Run) -> None:
    run.add(rows.row(outcome="lost", request="r-2"))


@_event("a token came twice")
def _doubled(run: _Run) -> None:
    run.add(rows.row(doubled_tokens=1))


@_event("a registration ran twice")
def _twice(run: _Run) -> None:
    run.far.runs["op-1"] = 2


@_event("an acknowledged call never ran")
def _never(run: _Run) -> None:
    run.add(rows.registration("op-2"))


@_event("a refused call had run")
def _refused(run: _Run) -> None:
    run.add(rows.registration("op-2", outcome="refused", executed="no"))
    run.far.runs["op-2"] = 1


@_event("a refused stream had run")
def _refused_stream(run: _Run) -> None:
    run.add(rows.row(outcome="refused", executed="no", request="r-9"))
    run.far.executions["r-9"] = 1


@_event("a leaving runner got work")
def _late(run: _Run) -> None:
    run.faults[0]["new_work_after"] = ["r-5"]


@_event("an entry VM ended with a fault")
def _fault(run: _Run) -> None:
    run.faults[0]["exit_code"] = 1


@_event("a fault did not come true")
def _untrue(run: _Run) -> None:
    run.faults[0]["failed"] = "TimeoutError()"


@_event("all went well")
def _well(run: _Run) -> None:
    """Leave all as it is."""


@behave.given("a demo run in which {event}")
def demo_run(context, event):
    context.run = _Run()
    _EVENTS[event](context.run)


def _broken(run: _Run) -> list[str]:
    found = _demo_report.checks(run.rows, run.faults, run.far)
    return [check.promise for check in found if check.broken]


@behave.then("the demo finds no broken promise")
def none_broken(context):
    assert _broken(context.run) == []


@behave.then('the demo finds exactly the broken promise "{promise}"')
def one_broken(context, promise):
    assert _broken(context.run) == [promise], _broken(context.run)
