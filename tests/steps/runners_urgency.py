"""Steps for tests/runners/urgency.feature."""

import heapq
import itertools
import random
import statistics

from behave import then
from behave import when

from apricotlever.runners import urgency

#: Of a runner of the users' sheets, per second.
READ_PER_S = 41400.0
#: Nine in twenty calls of the sheets' mix are short.
SHORT_PART = 0.45
SHORT_OBJECTIVE_S = 0.4
ROUTE_OF_SHORT, ROUTE_OF_LONG = 2, 1


def _by_route(customer, route, tokens):
    """The naive rule, which knows no lengths."""
    return urgency.place(customer, route, urgency.SHORT_TOKENS)


def _waits(rule, short, long, seconds, busy):
    """Seconds until prompts are read, by whether they are short.

    An engine that reads one prompt after the other, the first place first
    and in the order of arrival within it.
    """
    rng = random.Random(5)
    mean = SHORT_PART * short + (1.0 - SHORT_PART) * long
    rate = busy * READ_PER_S / mean
    arrivals, at = [], 0.0
    while at < seconds:
        at += rng.expovariate(rate)
        is_short = rng.random() < SHORT_PART
        tokens = rng.expovariate(1.0 / (short if is_short else long))
        arrivals.append((at, is_short, tokens))
    waits = {True: [], False: []}
    queue, number, now = [], itertools.count(), 0.0
    coming = iter(arrivals)
    upcoming = next(coming)
    while upcoming is not None or queue:
        if not queue:
            now = max(now, upcoming[0])
        while upcoming is not None and upcoming[0] <= now:
            route = ROUTE_OF_SHORT if upcoming[1] else ROUTE_OF_LONG
            place = rule(None, route, int(upcoming[2]))
            heapq.heappush(queue, (place, next(number), upcoming))
            upcoming = next(coming, None)
        came_at, is_short, tokens = heapq.heappop(queue)[2]
        now += tokens / READ_PER_S
        waits[is_short].append(now - came_at)
    return waits


@then(
    "a prompt of {tokens:d} tokens of a customer of priority {customer} on a "
    "route of priority {route:d} has place {place:d}"
)
def _place(context, tokens, customer, route, place):
    priority = None if customer == "none" else int(customer)
    found = urgency.place(priority, route, tokens)
    assert found == place, found


@when(
    "an engine reads prompts of {short:d} and of {long:d} tokens for "
    "{seconds:d} seconds, {busy:f} busy"
)
def _reads(context, short, long, seconds, busy):
    day = (float(short), float(long), seconds, busy)
    context.ours = _waits(urgency.place, *day)
    context.naive = _waits(_by_route, *day)


@then("short prompts are late at most half as often as by the route alone")
def _less_late(context):
    def late(waits):
        return sum(w > SHORT_OBJECTIVE_S for w in waits[True])

    assert 2 * late(context.ours) <= late(context.naive), (
        late(context.ours),
        late(context.naive),
    )


@then("the long ones wait at most {part:f} longer on the mean")
def _longer(context, part):
    ours = statistics.mean(context.ours[False])
    naive = statistics.mean(context.naive[False])
    assert ours <= (1.0 + part) * naive, (ours, naive)
