"""Steps for tests/mailbox.feature."""

from concurrent import futures

from behave import given
from behave import then
from behave import when

from apricotlever import clock
from apricotlever import mailbox

WAIT_S = 10.0


class _Double:
    __slots__ = ("number",)

    def __init__(self, number: int) -> None:
        self.number = number


class _Doubler(mailbox.Task):
    @mailbox.handles(_Double)
    def _double(self, message: _Double) -> int:
        return 2 * message.number


@given("a task that doubles numbers")
def _a_task(context):
    context.task = _Doubler("doubler", clock.SystemClock())
    context.pool = futures.ThreadPoolExecutor(1)
    context.running = context.pool.submit(context.task.run)
    context.closers.append(context.pool.shutdown)
    context.closers.append(context.task.stop)


@when("the task is asked to double {number:d}")
def _ask(context, number):
    context.answer = context.task.ask(_Double(number)).result(WAIT_S)


@when("the task is stopped")
def _stop(context):
    context.task.stop()
    context.running.result(WAIT_S)


@then("the answer is {number:d}")
def _answer(context, number):
    assert context.answer == number


@then("asking it to double {number:d} raises an error that names the task")
def _refused(context, number):
    error = context.task.ask(_Double(number)).exception(WAIT_S)
    assert isinstance(error, mailbox.TaskStopped)
    assert "doubler" in error.message
