"""Steps for tests/serving/log_writer.feature."""

import os

from behave import given
from behave import then
from behave import when

from apricotlever import logs
from apricotlever.serving import log_writer

READ_BYTES = 1 << 20


class Pipe:
    """A pipe with a log writer at one end and a clock."""

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
        """Lines that are there."""
        data = b""
        while True:
            self.writer.flush()
            try:
                part = os.read(self.reader, READ_BYTES)
            except BlockingIOError:
                return data.decode().splitlines()
            data += part


@given("a log writer whose reader reads nothing")
@given("a log writer whose reader reads all")
def _writer(context):
    context.pipe = Pipe(context)


@when("{seconds:d} seconds of {lines:d} lines each are logged")
def _seconds(context, seconds, lines):
    pipe = context.pipe
    for _ in range(seconds):
        pipe.now += 1.0
        for _ in range(lines):
            logs.event("request_ended", text="x" * 1000)
        # Would not return if a write waited.
        pipe.writer.flush()


@when("{count:d} lines of one event and one of another are logged in a second")
def _flood(context, count):
    for _ in range(count):
        logs.event("request_ended")
    logs.event("lease_lost")


@then("no write has waited, and at most {most:d} bytes are held")
def _bounded(context, most):
    assert (
        context.pipe.writer.buffered_bytes <= most
    ), context.pipe.writer.buffered_bytes


@then("when the reader reads again it is told how many lines are missing")
def _told(context):
    pipe = context.pipe
    pipe.read()
    pipe.now += 1.0
    logs.event("stopping")
    lines = pipe.read()
    assert any(
        "lines_left_out" in x and "of=request_ended" in x for x in lines
    ), lines


@then("the reader has {many:d} lines of the one, {few:d} of the other")
def _has(context, many, few):
    lines = context.pipe.read()
    assert sum("event=request_ended" in x for x in lines) == many
    assert sum("event=lease_lost" in x for x in lines) == few


@then("the next second tells that {count:d} are missing")
def _missing(context, count):
    context.pipe.now += 1.0
    logs.event("stopping")
    lines = context.pipe.read()
    assert any(f"count={count}" in x for x in lines), lines
