"""Steps for tests/serving/event_splitter.feature."""

import time

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.serving import event_splitter
from apricotlever.streams import event_buffer

MAX_EVENTS = 8
EXAMPLES = 1500
SPOILED = b"\xa5\xa5\n\n"


def _event(number):
    return b"id: %d\ndata: %b\n\n" % (number, b"x" * (number % 5))


def _spoil(events, kind, place):
    """Apply a fault of a runner; returns the events that it sends."""
    events = list(events)
    place %= len(events)
    if kind == "missing" and place < len(events) - 1:
        del events[place]
    elif kind == "doubled":
        events.insert(place, events[place])
    elif kind == "swapped" and place:
        events[place - 1 : place + 1] = events[place - 1 : place + 1][::-1]
    elif kind == "spoiled":
        events[place] = SPOILED
    elif kind == "no id":
        events[place] = b"data: x\n\n"
    elif kind == "huge id":
        events[place] = b"id: %b\n\n" % (b"1" * 5000)
    return events


_TRIES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "missing",
                "doubled",
                "swapped",
                "spoiled",
                "no id",
                "huge id",
                "cut",
                "none",
            ]
        ),
        strategies.integers(0, MAX_EVENTS),
        # Lengths of the pieces, over and over.
        strategies.lists(strategies.integers(1, 40), min_size=1, max_size=4),
        # Where the response is cut, as a share of it.
        strategies.floats(0.0, 1.0),
    ),
    min_size=1,
    max_size=5,
)


def _pieces(data, lengths):
    place = turn = 0
    while place < len(data):
        length = lengths[turn % len(lengths)]
        yield data[place : place + length]
        place += length
        turn += 1


def _try(splitter, written, count, attempt):
    """Play one runner's response; returns whether it ends as complete."""
    kind, place, lengths, cut = attempt
    splitter.discard_partial()
    rest = [_event(n) for n in range((splitter.last_id or 0) + 1, count + 1)]
    if not rest:
        return True
    data = b"".join(_spoil(rest, kind, place))
    if kind == "cut":
        data = data[: int(cut * len(data))]
    try:
        for piece in _pieces(data, lengths):
            splitter.pass_on(piece, written)
    except event_splitter.BadEvent:
        return False
    return kind != "cut" and not splitter.has_partial_event


@hypothesis.settings(
    max_examples=EXAMPLES, derandomize=True, deadline=None, database=None
)
@hypothesis.given(strategies.integers(2, MAX_EVENTS), _TRIES)
def _check_any(count, tries):
    splitter = event_splitter.EventSplitter()
    # The first event is taken as it comes, so here it has come.
    got = bytearray()

    def write(data, number):
        got.extend(data)
        return True

    splitter.pass_on(_event(1), write)
    complete = any(_try(splitter, write, count, each) for each in tries)
    whole = b"".join(map(_event, range(1, count + 1)))
    assert whole.startswith(got), got
    last_id = splitter.last_id
    assert bytes(got) == b"".join(map(_event, range(1, last_id + 1)))
    assert not complete or got == whole, (count, tries, got)


@then("what is written of any stream is its beginning")
def _check_property(context):
    _check_any()


@given("a splitter of events")
def _create(context):
    context.splitter = event_splitter.EventSplitter()


@when("the events {first:d} to {last:d} come, and can't be written")
def _fail(context, first, last):
    def write(data, count):
        raise ConnectionError("injected fault")

    data = b"".join(map(_event, range(first, last + 1)))
    try:
        context.splitter.pass_on(data, write)
    except ConnectionError:
        return
    raise AssertionError("the write was not tried")


@when("an event without end comes in pieces of {size:d} bytes")
def _send_endless(context, size):
    context.started_at = time.monotonic()
    context.sent = 0
    piece = b"id: 1\ndata: " + b"x" * size
    try:
        while context.sent < 50 * event_buffer.MAX_EVENT_BYTES:
            context.sent += len(piece)
            context.splitter.pass_on(piece, lambda data, count: True)
            piece = b"x" * size
    except event_splitter.BadEvent:
        return


@when("an event of {length:d} bytes comes in pieces of {size:d} bytes")
def _send_long(context, length, size):
    event = b"id: 1\ndata: " + b"x" * length + b"\n\n"
    for piece in _pieces(event, [size]):
        context.splitter.pass_on(piece, lambda data, count: True)


@then("the stream is bad after at most {count:d} bytes")
def _check_sent(context, count):
    assert context.sent <= count, context.sent


@then("the splitter took less than {seconds:d} seconds")
def _check_time(context, seconds):
    assert time.monotonic() - context.started_at < seconds


@then("the stream goes on after no event")
def _check_none(context):
    assert context.splitter.last_id is None


@then("the stream goes on after event {number:d}")
def _check_last(context, number):
    assert context.splitter.last_id == number
