"""Steps for tests/serving/log_writer.feature."""

import os

from behave import given
from behave import then
from behave import when

from apricotlever import logs
from apricotlever.serving import log_writer

READ_BYTES = 1 << 20


class Pipe:
    """A pipe with a log writer at one end, and a manual clock."""

    def __init__(self, context):
        self.now = 10.0
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.writer = log_writer.LogWriter(writer, lambda: self.now)
        logs.setup_writer("vm-1", self.writer.write)
        context.closers += [
            logs.teardown,
            lambda: os.close(writer),
            lambda: os.close(self.reader),
        ]

    def read(self):
        """Return all lines that can be read."""
        data = b""
        while True:
            self.writer.flush()
            try:
                part = os.read(self.reader, READ_BYTES)
            except BlockingIOError:
                return data.decode().splitlines()
            data += part


@given("a log writer whose reader does not read")
@given("a log writer whose reader reads all lines")
def _writer(context):
    context.pipe = Pipe(context)


@when("{lines:d} lines are logged in each of {seconds:d} seconds")
def _seconds(context, seconds, lines):
    pipe = context.pipe
    for _ in range(seconds):
        pipe.now += 1.0
        for _ in range(lines):
            logs.event("request_ended", text="x" * 1000)
        # A blocking write would never return.
        pipe.writer.flush()


@when("{count:d} lines of one event and one of another are logged in a second")
def _flood(context, count):
    for _ in range(count):
        logs.event("request_ended")
    logs.event("lease_lost")


@then("no write has blocked, and at most {most:d} bytes are buffered")
def _bounded(context, most):
    assert (
        context.pipe.writer.buffered_bytes <= most
    ), context.pipe.writer.buffered_bytes


@then("a reader that reads again finds the number of dropped lines")
def _dropped(context):
    pipe = context.pipe
    pipe.read()
    pipe.now += 1.0
    logs.event("stopping")
    lines = pipe.read()
    assert any(
        "lines_left_out" in x and "of=request_ended" in x for x in lines
    ), lines


@then(
    "the reader gets {many:d} lines of the one event and {few:d} of the other"
)
def _has(context, many, few):
    lines = context.pipe.read()
    assert sum("event=request_ended" in x for x in lines) == many
    assert sum("event=lease_lost" in x for x in lines) == few


@then("a line in the next second says that {count:d} are missing")
def _missing(context, count):
    context.pipe.now += 1.0
    logs.event("stopping")
    lines = context.pipe.read()
    assert any(f"count={count}" in x for x in lines), lines
