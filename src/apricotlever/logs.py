"""Structured logging: one line of key=value pairs for each event.

Every event is registered in ``EVENTS`` with its level and a one-line
description. The operators' page lists the same events, and a test compares
the two.
"""

import datetime
import json
import re
import sys
import typing

_UNQUOTED = re.compile(r"[!#-<>-\[\]-~]+")
_TIME_FORMAT = "%Y-%m-%dT%H:%M:%S.%f"

# The values equal logbook's levels. The module logbook is imported only in
# setup(): with its own imports it would make up a fifth of a small VM's
# process.
DEBUG = 10
INFO = 11
WARNING = 13
ERROR = 14

_LEVEL_NAMES = {
    DEBUG: "DEBUG",
    INFO: "INFO",
    WARNING: "WARNING",
    ERROR: "ERROR",
}
_LEVELS_BY_NAME = {
    "debug": DEBUG,
    "info": INFO,
    "warning": WARNING,
    "error": ERROR,
}

#: Called with the name of an event and the complete log line.
Writer = typing.Callable[[str, str], None]


class Event:
    """The definition of a type of event.

    :param level: one of the levels of this module.
    :param meaning: a one-line description for operators.
    """

    __slots__ = ("level", "meaning")

    def __init__(self, level: int, meaning: str) -> None:
        self.level = level
        self.meaning = meaning


EVENTS: dict[str, Event] = {
    "started": Event(INFO, "The daemon serves callers."),
    "settings_invalid": Event(ERROR, "The settings were refused."),
    "stopping": Event(INFO, "A graceful shutdown began."),
    "stopped": Event(INFO, "The daemon has ended."),
    "stop_cut_off": Event(
        ERROR, "The graceful shutdown ran out of time with requests left."
    ),
    "task_failed": Event(ERROR, "A task met an error that it can't name."),
    "paused": Event(
        WARNING, "This process stood still; its leases are held to be lost."
    ),
    "catalogue_in_force": Event(INFO, "A catalogue version came into force."),
    "catalogue_refused": Event(
        ERROR, "A catalogue in the store is invalid; the old one stays."
    ),
    "platform_call_failed": Event(
        WARNING, "A call to the platform failed or has an unknown outcome."
    ),
    "platform_call_recovered": Event(
        INFO, "A call to the platform that had failed is answered again."
    ),
    "platform_down": Event(WARNING, "The object API stopped answering."),
    "platform_up": Event(INFO, "The object API answers again."),
    "member_joined": Event(INFO, "An entry VM joined the view."),
    "member_suspected": Event(INFO, "An entry VM did not answer probes."),
    "member_leaving": Event(INFO, "An entry VM said that it leaves."),
    "member_dead": Event(WARNING, "An entry VM is held to be gone."),
    "aggregator_changed": Event(
        INFO, "Another VM tells the fleet of this one from now on."
    ),
    "peer_call_failed": Event(INFO, "A call to another entry VM failed."),
    "lease_taken": Event(INFO, "This VM holds a duty's lease."),
    "lease_lost": Event(WARNING, "This VM no longer holds a duty's lease."),
    "lease_handed_over": Event(
        WARNING,
        "This VM leaves, or alone can't reach the store: others take a duty.",
    ),
    "order_sent": Event(INFO, "A runner took an order."),
    "order_refused": Event(
        WARNING, "A runner refused an order with an old fencing number."
    ),
    "order_failed": Event(WARNING, "An order has no known outcome yet."),
    "runner_found": Event(INFO, "A runner may be given work."),
    "runner_leaving": Event(
        INFO, "A runner is being reclaimed; it gets no new work."
    ),
    "runner_gone": Event(INFO, "A runner is no longer in the platform."),
    "runner_crashed": Event(
        WARNING, "A runner ended under calls that broke off there."
    ),
    "runner_outlier": Event(
        WARNING, "A runner fails more than its service's others."
    ),
    "runner_unhealthy": Event(WARNING, "A runner's circuit breaker opened."),
    "runner_healthy": Event(INFO, "A runner's circuit breaker closed."),
    "cache_events_missed": Event(
        DEBUG, "A runner's cache events have a gap; its index is dropped."
    ),
    "vm_bought": Event(INFO, "The cloud API started a VM."),
    "vm_refused": Event(WARNING, "The cloud API refused to start a VM."),
    "vm_released": Event(INFO, "A VM was given back."),
    "request_refused": Event(INFO, "A request was refused and not run."),
    "request_routed": Event(INFO, "A runner was chosen for a request."),
    "request_retried": Event(INFO, "An attempt failed and another began."),
    "request_ended": Event(INFO, "A request has its outcome."),
    "request_unknown": Event(
        ERROR, "A non-idempotent call may have run and is not sent again."
    ),
    "request_quarantined": Event(
        ERROR, "A request that crashed runners is refused everywhere."
    ),
    "stream_moved": Event(INFO, "A stream went on at another runner."),
    "stream_replayed": Event(
        WARNING, "A stream's tokens were computed again elsewhere."
    ),
    "stream_broken": Event(ERROR, "A stream ended without its last token."),
    "handover_sent": Event(INFO, "The heir took this VM's requests."),
    "handover_taken": Event(INFO, "A leaving VM's requests came here."),
    "handover_failed": Event(
        ERROR, "No heir took this VM's requests or ledger."
    ),
    "watch_restarted": Event(
        INFO, "The store dropped its history; a list was read anew."
    ),
    "dependency_lost": Event(WARNING, "Calls to a dependency began to fail."),
    "dependency_regained": Event(INFO, "A dependency answers again."),
    "peer_refused": Event(
        WARNING, "A record or a fetch of a stranger was refused."
    ),
    "lease_call_failed": Event(
        INFO, "A store call for a lease had no effect."
    ),
    "usage_report_delayed": Event(
        WARNING, "A usage report could not be sent yet."
    ),
    "report_fenced_off": Event(WARNING, "Another holder has reported since."),
    "usage_reported": Event(INFO, "A window's usage was reported."),
    "configuration_in_force": Event(
        INFO, "A configuration version came into force."
    ),
    "configuration_refused": Event(
        ERROR, "A configuration is invalid; the old one stays."
    ),
    "entry_refused": Event(
        WARNING, "An entry of the runners' list names no runner to use."
    ),
    "task_restarts": Event(
        ERROR, "A task that must not end has ended; it is started again."
    ),
    "stored_refused": Event(
        WARNING, "An object in the store can't be read; it counts for nothing."
    ),
    "member_restarted": Event(
        INFO, "Another entry VM's process is a new one."
    ),
    "fetched_from_peer": Event(
        INFO, "A peer had news that the store did not bring."
    ),
    "reloaded": Event(INFO, "The settings were read again."),
    "no_runner": Event(INFO, "No runner could be chosen for a request."),
    "notes_unread": Event(
        INFO, "What the fleet noted of its limits could not be read."
    ),
    "lines_left_out": Event(
        WARNING, "Lines of an event were too many, or nobody read them."
    ),
    "runners_needed": Event(INFO, "What the runners' work was taken for."),
    "runners_ordered": Event(INFO, "A number of runners was ordered."),
    "roll_out_ordered": Event(INFO, "A new version is to be moved to."),
    "roll_out_phase": Event(
        INFO, "The new version gets another part of the calls from now on."
    ),
    "roll_out_failed": Event(
        WARNING, "A new version is worse than the old one; it gets no calls."
    ),
    "roll_out_turned": Event(INFO, "A roll-out has come to another state."),
    "roll_out_written": Event(INFO, "How far a roll-out is was written."),
    "roll_out_unwritten": Event(
        WARNING, "How far a roll-out is could not be written yet."
    ),
    "roll_out_refused": Event(
        WARNING, "An order for a roll-out can't be read."
    ),
    "ledger_full": Event(WARNING, "The ledger refuses new keys."),
}

_writers: list[Writer] = []
_common_fields: dict[str, str] = {}
_min_level = [INFO]


def setup(
    vm: str, level: str = "info", stream: typing.TextIO | None = None
) -> None:
    """Write the events of this process to a stream.

    An earlier set-up is replaced.

    :param vm: the name of this VM, added to each line.
    :param level: the minimum level: ``debug``, ``info``, ``warning`` or
        ``error``.
    :param stream: the output stream; standard error when None.
    """
    import logbook

    handler = logbook.StreamHandler(
        stream or sys.stderr,
        level=logbook.DEBUG,
        format_string="{record.message}",
    )
    logger = logbook.Logger("apricotlever")

    def write(name: str, text: str) -> None:
        with handler.applicationbound():
            logger.info(text)

    setup_writer(vm, write, level)


def setup_writer(vm: str, write: Writer, level: str = "info") -> None:
    """Pass the events of this process to a function instead of a stream.

    An earlier set-up is replaced.

    :param vm: the name of this VM, added to each line.
    :param write: called with the name and the line of each event; must not
        block.
    :param level: the minimum level, as in :func:`setup`.
    """
    teardown()
    _writers.append(write)
    _min_level[0] = _LEVELS_BY_NAME[level]
    _common_fields["vm"] = vm


def teardown() -> None:
    """Undo :func:`setup` or :func:`setup_writer`."""
    _writers.clear()
    _common_fields.clear()


def event(name: str, **fields: typing.Any) -> None:
    """Log an event.

    Nothing is written before :func:`setup`. Fields must not contain bearer
    keys, prompts or answers.

    :param name: a name in ``EVENTS``; any other name is logged as an error.
    :param fields: further fields of the line, in this order; fields that
        are None are left out.
    """
    known = EVENTS.get(name)
    level = known.level if known else ERROR
    if not _writers or level < _min_level[0]:
        return
    now = datetime.datetime.now(datetime.UTC).strftime(_TIME_FORMAT)
    text = format_fields(event=name, **_common_fields, **fields)
    for write in _writers:
        write(name, f"time={now}Z level={_LEVEL_NAMES[level]} {text}")


def format_fields(**fields: typing.Any) -> str:
    """Format fields as ``key=value`` pairs, without those that are None."""
    return " ".join(
        f"{key}={quoted(value)}"
        for key, value in fields.items()
        if value is not None
    )


def quoted(value: typing.Any) -> str:
    """Format a value as a bare word, or else as a JSON string.

    If line breaks and spaces were not quoted, text from a caller could forge
    further events or fields.
    """
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    return text if _UNQUOTED.fullmatch(text) else json.dumps(text)
