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
    "settings_invalid": Event(ERROR, "The settings were rejected."),
    "stopping": Event(INFO, "A graceful shutdown began."),
    "stopped": Event(INFO, "The daemon has stopped."),
    "stop_cut_off": Event(
        ERROR, "The graceful shutdown timed out with requests left."
    ),
    "task_failed": Event(ERROR, "A task raised an unexpected error."),
    "paused": Event(
        WARNING, "The process was suspended; it treats its leases as lost."
    ),
    "catalogue_in_force": Event(INFO, "A catalogue version came into force."),
    "catalogue_refused": Event(
        ERROR,
        "A catalogue in the store is invalid; the old one stays in force.",
    ),
    "platform_call_failed": Event(
        WARNING, "A call to the platform failed or has an unknown outcome."
    ),
    "platform_call_recovered": Event(
        INFO, "A call to the platform was answered after earlier failures."
    ),
    "platform_down": Event(WARNING, "The object API stopped responding."),
    "platform_up": Event(INFO, "The object API responds again."),
    "member_joined": Event(
        INFO, "An entry VM joined this VM's view of the fleet."
    ),
    "member_suspected": Event(INFO, "An entry VM did not answer probes."),
    "member_leaving": Event(INFO, "An entry VM announced that it leaves."),
    "member_dead": Event(WARNING, "An entry VM is considered dead."),
    "aggregator_changed": Event(
        INFO, "The VM that relays this VM's records changed."
    ),
    "peer_call_failed": Event(INFO, "A call to another entry VM failed."),
    "lease_taken": Event(INFO, "This VM acquired a duty's lease."),
    "lease_lost": Event(WARNING, "This VM no longer holds a duty's lease."),
    "lease_handed_over": Event(
        WARNING,
        "This VM surrendered a lease: it leaves, or only it lost the store.",
    ),
    "order_sent": Event(INFO, "A runner accepted an order."),
    "order_refused": Event(
        WARNING, "A runner refused an order with an outdated fencing number."
    ),
    "order_failed": Event(
        WARNING, "An order failed or has an unknown outcome."
    ),
    "runner_found": Event(INFO, "A runner is available for requests."),
    "runner_leaving": Event(
        INFO, "A runner is being reclaimed; it gets no new work."
    ),
    "runner_notice": Event(
        INFO, "Another VM told that a runner leaves, ahead of its entry."
    ),
    "runner_gone": Event(
        INFO, "A runner is no longer listed by the platform."
    ),
    "runner_crashed": Event(
        WARNING, "A runner ended and its calls in flight were interrupted."
    ),
    "runner_fell": Event(
        INFO,
        "A fragile runner ended and its calls in flight were interrupted.",
    ),
    "crash_cause_found": Event(
        WARNING,
        "A prompt part explains runners' crashes; calls with it are blocked.",
    ),
    "crash_cause_cleared": Event(
        INFO, "A prompt part explains no crashes any longer."
    ),
    "request_blocked": Event(
        INFO, "A request is blocked, as ones like it crashed runners."
    ),
    "request_on_trial": Event(
        INFO, "A blocked request runs as a trial, to see if it is sound now."
    ),
    "runner_crashes_retracted": Event(
        WARNING,
        "This VM lost its paths; what it took for crashes of runners is void.",
    ),
    "runner_outlier": Event(
        WARNING, "A runner fails more often than others of its service."
    ),
    "runner_slowness": Event(
        INFO, "A runner's speed relative to others changed by a quarter."
    ),
    "runner_refuses": Event(
        INFO, "A runner refuses connections of this VM or of several others."
    ),
    "runners_unreachable": Event(
        WARNING, "This VM reaches no runner: it is isolated, or all are down."
    ),
    "runners_reachable": Event(INFO, "This VM reaches runners again."),
    "service_contention": Event(
        INFO, "A service's prompts began or ceased to wait for long."
    ),
    "customer_over_share": Event(
        INFO, "A customer uses more than its fair share of a busy service."
    ),
    "runner_limit": Event(
        INFO,
        "A runner named, changed or lifted the limit of calls it takes.",
    ),
    "runner_fragile": Event(
        INFO,
        "A runner began or ceased to be fragile, or bears another number.",
    ),
    "runner_rest": Event(
        INFO, "A runner turned a call away and asked this VM to stay away."
    ),
    "runner_passed_over": Event(
        INFO, "A runner that a request would have gone to had no room for it."
    ),
    "slot_not_granted": Event(
        INFO,
        "The keeper of a service's slots had none for a request in time.",
    ),
    "runners_unavailable": Event(
        INFO, "All runners for a request rest, leave or have no room."
    ),
    "runner_statement_unreadable": Event(
        WARNING, "A runner said something of itself that can't be read."
    ),
    "runner_unhealthy": Event(WARNING, "A runner's circuit breaker opened."),
    "runner_healthy": Event(INFO, "A runner's circuit breaker closed."),
    "cache_events_missed": Event(
        DEBUG,
        "A runner's cache events have a gap; its cache index is dropped.",
    ),
    "vm_bought": Event(INFO, "The cloud API started a VM."),
    "vm_refused": Event(WARNING, "The cloud API refused to start a VM."),
    "vm_released": Event(INFO, "A VM was returned to the cloud."),
    "request_refused": Event(INFO, "A request was refused and not run."),
    "request_without_time": Event(
        INFO, "A request can't begin in time at any runner."
    ),
    "request_routed": Event(INFO, "A runner was chosen for a request."),
    "request_retried": Event(
        INFO, "An attempt failed and another one started."
    ),
    "retry_share": Event(
        INFO, "This VM takes another number of VMs to share the retries."
    ),
    "fleet_size_unread": Event(
        INFO, "The store's record of the fleet's size could not be read."
    ),
    "fleet_size_written": Event(
        INFO, "The store's record of the fleet's size was written."
    ),
    "fleet_size_unwritten": Event(
        INFO, "The store's record of the fleet's size could not be written."
    ),
    "crashes_restored": Event(
        INFO, "Crashes of runners were read that VMs had seen before."
    ),
    "crashes_unread": Event(
        WARNING, "The crashes that VMs have seen before could not be read."
    ),
    "crashes_unwritten": Event(
        WARNING, "The crashes that this VM has seen could not be written."
    ),
    "request_forwarded": Event(
        INFO,
        "A request was sent to another VM, as this one reached no runner.",
    ),
    "forwarded_call": Event(
        INFO, "A request that another VM had forwarded here ended."
    ),
    "request_ended": Event(INFO, "A request ended with an outcome."),
    "request_unknown": Event(
        ERROR, "A non-idempotent call may have run and is not retried."
    ),
    "request_quarantined": Event(
        ERROR, "A request that crashed runners is refused by all VMs."
    ),
    "caller_gave_way": Event(
        WARNING,
        "A caller's connection was closed, as callers hold too much.",
    ),
    "stream_resumed": Event(
        INFO, "A caller took its stream up again, whose beginning is known."
    ),
    "stream_unknown": Event(
        WARNING,
        "A caller's stream isn't resumed; nobody knows where it began.",
    ),
    "stream_versions_recorded": Event(
        INFO, "The store's record of a service's versions was written."
    ),
    "stream_versions_failed": Event(
        WARNING, "The record of a service's versions can't be brought up."
    ),
    "stream_moved": Event(INFO, "A stream continued at another runner."),
    "stream_replayed": Event(
        WARNING, "A stream's tokens were recomputed at another runner."
    ),
    "stream_broken": Event(ERROR, "A stream ended without its last token."),
    "handover_sent": Event(INFO, "The successor accepted this VM's requests."),
    "handover_taken": Event(
        INFO, "This VM accepted a leaving VM's requests or ledger."
    ),
    "handover_failed": Event(
        ERROR, "No successor accepted this VM's requests or ledger."
    ),
    "watch_restarted": Event(
        INFO, "The store dropped its history; the list was read again."
    ),
    "dependency_lost": Event(WARNING, "Calls to a dependency began to fail."),
    "dependency_regained": Event(INFO, "A dependency responds again."),
    "peer_refused": Event(
        WARNING,
        "A message of an unknown sender, or an invalid one, was rejected.",
    ),
    "lease_call_failed": Event(
        INFO, "A store call for a lease failed or has an unknown outcome."
    ),
    "usage_report_delayed": Event(
        WARNING, "A usage report could not be sent yet."
    ),
    "report_fenced_off": Event(
        WARNING,
        "A usage report was refused; another holder has reported since.",
    ),
    "usage_reported": Event(INFO, "A window's usage was reported."),
    "configuration_in_force": Event(
        INFO, "A configuration version came into force."
    ),
    "configuration_refused": Event(
        ERROR, "A configuration is invalid; the old one stays in force."
    ),
    "entry_refused": Event(
        WARNING, "An entry in the store does not describe a usable runner."
    ),
    "task_restarts": Event(
        ERROR, "An essential task ended unexpectedly and is restarted."
    ),
    "stored_refused": Event(
        WARNING, "An object in the store is unreadable and is ignored."
    ),
    "member_restarted": Event(
        INFO, "The process of another entry VM was restarted."
    ),
    "fetched_from_peer": Event(
        INFO, "An update that the store did not deliver came from a peer."
    ),
    "reloaded": Event(INFO, "The settings were reloaded."),
    "no_runner": Event(INFO, "No runner was available for a request."),
    "notes_unread": Event(
        INFO, "The stored levels of the limits could not be read."
    ),
    "lines_left_out": Event(
        WARNING,
        "Log lines were dropped: too many of an event, or output blocked.",
    ),
    "runners_needed": Event(
        INFO, "The inputs from which the number of runners was computed."
    ),
    "runners_ordered": Event(INFO, "A number of runners was ordered."),
    "roll_out_ordered": Event(
        INFO, "A roll-out of a new version was ordered."
    ),
    "roll_out_phase": Event(
        INFO,
        "A roll-out entered another phase; the new version's share changes.",
    ),
    "roll_out_failed": Event(
        WARNING,
        "A new version is worse than the old one and gets no more calls.",
    ),
    "roll_out_turned": Event(INFO, "The state of a roll-out changed."),
    "roll_out_written": Event(
        INFO, "The status of a roll-out was written to the store."
    ),
    "roll_out_unwritten": Event(
        WARNING, "The status of a roll-out could not be written yet."
    ),
    "roll_out_refused": Event(WARNING, "An order for a roll-out is invalid."),
    "ledger_full": Event(WARNING, "The ledger is full and refuses new keys."),
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
    """Log an event of this process as one line of key=value pairs.

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
