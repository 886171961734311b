"""Checks the fleet-wide limit on retries, from what reached the runners.

In no window may more arrivals beyond the first of each call reach a service
than a share of its calls and a fixed number. The calls are counted as callers
sent them, in that window, in the one before or in the one between the two.
"""

import bisect
import collections
import typing

from . import callers
from . import fleet
from . import statements

#: The limit as the VMs of a soak test are told it.
RATIO = 0.2
WINDOW_S = 10.0

#: Service by path prefix of its routes.
_SERVICES = {prefix: service for prefix, service, *_ in fleet.ROUTES}


class Excess:
    """The window in which the retries came closest to the limit, or beyond.

    :param until: its end, in the unit of the times given.
    :param repeats: arrivals beyond the first of their call in it.
    :param allowed: how many there may have been.
    """

    __slots__ = ("until", "repeats", "allowed")

    def __init__(self, until: float, repeats: int, allowed: float) -> None:
        self.until = until
        self.repeats = repeats
        self.allowed = allowed

    @property
    def is_violation(self) -> bool:
        """Whether the limit was exceeded at all."""
        return self.repeats > self.allowed


def find_violations(
    calls: typing.Iterable[callers.Call],
    started_at: float,
    events: typing.Iterable[statements.Event],
    retry_min: float,
) -> list[str]:
    """Describe the worst window of each service that got too many retries.

    :param calls: all calls of all callers.
    :param started_at: the start of the callers' clock.
    :param events: what the runners wrote.
    :param retry_min: arrivals beyond the first that are allowed in addition.
    """
    violations = []
    for service, worst in worst_windows(
        calls, started_at, events, retry_min
    ).items():
        if worst.is_violation:
            violations.append(
                f"{service}: {worst.repeats} arrivals beyond the first of "
                f"their call in {WINDOW_S:.0f} s until "
                f"{worst.until - started_at:.1f} s, "
                f"{worst.allowed:.1f} allowed"
            )
    return violations


def worst_windows(
    calls: typing.Iterable[callers.Call],
    started_at: float,
    events: typing.Iterable[statements.Event],
    retry_min: float,
) -> dict[str, Excess]:
    """The worst window of each service with a repeat; see above."""
    sent: dict[str, list[float]] = collections.defaultdict(list)
    service_of: dict[str, str] = {}
    for call in calls:
        service = service_of[call.call_id] = _SERVICES[call.prefix]
        sent[service].append(started_at + call.sent_at)
    repeats: dict[str, list[float]] = collections.defaultdict(list)
    seen: set[str] = set()
    for event in sorted(events, key=lambda event: event.at):
        service = service_of.get(event.value, "")
        if event.kind is not statements.Kind.ARRIVED or not service:
            continue
        if event.value in seen:
            repeats[service].append(event.at)
        seen.add(event.value)
    return {
        service: worst_window(sent[service], times, RATIO, retry_min)
        for service, times in repeats.items()
    }


def worst_window(
    sent: typing.Iterable[float],
    repeats: typing.Iterable[float],
    ratio: float,
    retry_min: float,
    window_s: float = WINDOW_S,
) -> Excess:
    """Find the window whose retries are the most for what is allowed.

    :param sent: when each request was sent, in seconds.
    :param repeats: when each arrival beyond the first came.
    """
    requests, times = sorted(sent), sorted(repeats)

    def count(at: list[float], until: float) -> int:
        return bisect.bisect_right(at, until) - bisect.bisect_left(
            at, until - window_s
        )

    windows = (
        Excess(
            end,
            count(times, end),
            retry_min
            + ratio
            * max(
                count(requests, end - back_s)
                for back_s in (0.0, 0.5 * window_s, window_s)
            ),
        )
        for end in times
    )
    return max(
        windows,
        key=lambda each: each.repeats / each.allowed,
        default=Excess(0.0, 0, retry_min),
    )
