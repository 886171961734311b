"""Steps for tests/serving/crash_parts.feature."""

import asyncio

from behave import then
from behave import when

from tests.serving import crash_play

PLAY_S = 6.0
#: How a crash ends a connection, and whether it leaves the beginning of an
#: answer.
ENDS = {
    "a reset before their answer": ("resets", False),
    "a close within their answer": ("ends", True),
    "a close within an event": ("ends", True),
}


@when(
    "{kind} are played beside calls with a bad part that is the {place} one, "
    "and runners end with {end}"
)
def _played(context, kind, place, end):
    how, beginning = ENDS[end]
    _play(
        context,
        crash_play.CrashPlay(
            kind == "streams", place == "first", how, beginning
        ),
    )


@when(
    "idempotent calls that differ by their declared prompts alone are played "
    "beside calls with a bad part"
)
def _played_with_one_body(context):
    _play(context, crash_play.CrashPlay(False, False, body=""))


def _play(context, play):
    context.play = play
    asyncio.run(play.run(PLAY_S))
    assert play.crash_times


@then(
    "no call with the part runs later than {seconds:g} seconds after the "
    "fifth crash"
)
def _no_late_runs(context, seconds):
    assert seconds == crash_play.CONTACT_S
    play = context.play
    assert not play.late_bad_runs, (play.late_bad_runs, len(play.crash_times))


@then(
    "at least half of the sound calls are answered from {seconds:g} seconds "
    "after the last crash on"
)
def _sound_answered(context, seconds):
    play = context.play
    since = play.crash_times[-1] + seconds
    assert play.sound_share(since) >= 0.5, (play.statuses, play.crash_times)
