"""Log lines about crashes of runners and the calls that they block."""

import collections

from .. import logs
from ..runners import crash_blocks
from ..runners import crash_causes

from . import messages
from . import runners

#: The greatest number of calls, and of prompt parts, that a log line names.
MAX_LOGGED = 8


def log_block(
    call: messages.CallerCall, block: crash_blocks.Block, now: float
) -> None:
    """Log that a call is blocked, or runs as a trial.

    :param now: in monotonic seconds.
    """
    evidence = block.evidence
    logs.event(
        "request_on_trial" if block.is_trial else "request_blocked",
        request=call.request_id,
        feature=block.name,
        wait_s=block.wait_s,
        crashes=len(evidence),
        crash_age_s=min((now - c.at for c in evidence), default=None),
        runners=",".join(c.runner for c in evidence[-MAX_LOGGED:]) or None,
        seen_by=",".join(
            sorted({vm for c in evidence for vm in c.reporters})[:MAX_LOGGED]
        )
        or None,
    )


def log_cause(event: str, cause: crash_causes.CrashCause) -> None:
    """Log that a prompt part explains crashes, or no longer does.

    :param event: the name of the event.
    """
    logs.event(
        event,
        feature=cause.key,
        features=",".join(sorted(cause.names)),
        crashes=len(cause.explained),
        was_answered=cause.was_answered,
        runners=",".join(c.runner for c in cause.explained[-MAX_LOGGED:]),
        seen_by=",".join(
            sorted({vm for c in cause.explained for vm in c.reporters})[
                :MAX_LOGGED
            ]
        ),
    )


def log_crash(
    runner: runners.Runner, crash: crash_blocks.ChargedCrash
) -> None:
    """Log that a runner has ended, and which calls broke off there."""
    parts = collections.Counter(
        part for call in crash.calls for part in call.parts
    )
    logs.event(
        "runner_fell" if crash.fragile else "runner_crashed",
        runner=runner.runner_id,
        data_centre=runner.data_centre,
        leaving=runner.leaving,
        charged=len(crash.calls),
        calls=",".join(c.request_id for c in crash.calls[:MAX_LOGGED]),
        parts=",".join(
            f"{part}:{count}" for part, count in parts.most_common(MAX_LOGGED)
        )
        or None,
        crashes=crash.known_crashes,
        repeated=crash.repeated,
        excused=crash.excused,
    )
