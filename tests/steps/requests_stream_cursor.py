"""Steps for tests/requests/stream_cursor.feature."""

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from apricotlever.requests import stream_cursor

offers = strategies.lists(
    strategies.tuples(
        strategies.booleans(),
        strategies.integers(1, 4),
        strategies.integers(-3, 3),
    ),
    max_size=80,
)


def _relay(judge, sequence):
    """Offer tokens with indices near the cursor; return those sent.

    :param judge: decides whether a token is sent.
    """
    cursor = stream_cursor.StreamCursor()
    sent = []
    for begins, attempt, offset in sequence:
        if begins and attempt > cursor.attempt:
            cursor.start_attempt(attempt)
        index = max(0, cursor.next_index + offset)
        if judge(cursor, attempt, index):
            sent.append((attempt, index))
    return sent


@then("the cursor accepts each token once and in order, from any attempt")
def _in_order(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(offers)
    def check(sequence):
        def judge(cursor, attempt, index):
            verdict = cursor.offer(attempt, index)
            assert (
                verdict != stream_cursor.ACCEPTED or attempt == cursor.attempt
            )
            return verdict == stream_cursor.ACCEPTED

        sent = [index for _, index in _relay(judge, sequence)]
        assert sent == list(range(len(sent)))

    check()


@then("sending every token that arrives repeats one in some sequence")
def _repeats(context):
    def judge(cursor, attempt, index):
        cursor.offer(attempt, index)
        return True

    sequence = [(False, 1, 0), (True, 2, 0), (False, 1, -1)]
    sent = [index for _, index in _relay(judge, sequence)]
    assert len(set(sent)) < len(sent)


@given("a stream cursor at token {index:d} of attempt {attempt:d}")
def _cursor(context, index, attempt):
    context.cursor = stream_cursor.StreamCursor(attempt, index)


@when("attempt {attempt:d} starts at the cursor")
def _begin(context, attempt):
    context.cursor.start_attempt(attempt)


@when("attempt {attempt:d} offers token {index:d}")
def _offer(context, attempt, index):
    context.verdict = context.cursor.offer(attempt, index)


@then("the cursor reports a {verdict} and still waits for token {index:d}")
def _verdict(context, verdict, index):
    known = {"gap": stream_cursor.GAP, "stale token": stream_cursor.STALE}
    assert context.verdict == known[verdict]
    assert context.cursor.next_index == index
