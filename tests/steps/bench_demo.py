"""Steps for tests/bench/demo.feature, which break one promise at a time."""

import typing

import behave

from bench import _demo_report
from tests.bench import rows

RunChange = typing.Callable[["_Run"], None]
_EVENTS: dict[str, RunChange] = {}


class _Run:
    """The records of a demo run in which nothing failed."""

    def __init__(self) -> None:
        self.rows = [rows.row(), rows.registration("op-1", request="r-1")]
        self.faults = [{"fault": "stop", "vms": ["e"], "arguments": ["e"]}]
        self.executions = _demo_report.Executions({"r-0": 1}, {"op-1": 1})

    def add(self, row: rows.Row) -> None:
        """Add the record of a request."""
        self.rows.append(row)


def _event(name: str) -> typing.Callable[[RunChange], RunChange]:
    def register(change: RunChange) -> RunChange:
        _EVENTS[name] = change
        return change

    return register


@_event("a stream was lost")
def _lose_stream(run: _Run) -> None:
    run.add(rows.row(outcome="lost", request="r-2"))


@_event("a token was received twice")
def _duplicate_token(run: _Run) -> None:
    run.add(rows.row(doubled_tokens=1))


@_event("a registration was executed twice")
def _repeat_registration(run: _Run) -> None:
    run.executions.by_operation["op-1"] = 2


@_event("an acknowledged call was not executed")
def _skip_acknowledged_call(run: _Run) -> None:
    run.add(rows.registration("op-2"))


@_event("a refused call was executed")
def _execute_refused_call(run: _Run) -> None:
    run.add(rows.registration("op-2", outcome="refused", executed="no"))
    run.executions.by_operation["op-2"] = 1


@_event("a refused stream was executed")
def _execute_refused_stream(run: _Run) -> None:
    run.add(rows.row(outcome="refused", executed="no", request="r-9"))
    run.executions.by_request["r-9"] = 1


@_event("a leaving runner got a new request")
def _assign_to_leaving_runner(run: _Run) -> None:
    run.faults[0]["new_work_after"] = ["r-5"]


@_event("an entry VM exited with an error")
def _fail_entry_vm(run: _Run) -> None:
    run.faults[0]["exit_code"] = 1


@_event("injecting a fault failed")
def _fail_injection(run: _Run) -> None:
    run.faults[0]["failed"] = "TimeoutError()"


@_event("nothing failed")
def _change_nothing(run: _Run) -> None:
    """Change nothing."""


@behave.given("a demo run in which {event}")
def demo_run(context, event):
    context.run = _Run()
    _EVENTS[event](context.run)


def _broken_promises(run: _Run) -> list[str]:
    checks = _demo_report.check_promises(run.rows, run.faults, run.executions)
    return [check.promise for check in checks if check.broken]


@behave.then("the demo reports no broken promise")
def reports_none(context):
    assert _broken_promises(context.run) == []


@behave.then('the demo reports exactly the broken promise "{promise}"')
def reports_one(context, promise):
    assert _broken_promises(context.run) == [promise], _broken_promises(
        context.run
    )
