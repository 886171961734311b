"""A call's place in the queue of a model engine.

An engine reads the prompts of urgent calls first. A customer's priority goes
before the route's, and within one customer's priority short prompts go
before all others.
"""

#: The least urgent place in an engine's queue.
LAST_PLACE = 9
#: Places for the routes of one customer's priority.
ROUTES_PER_CUSTOMER_PRIORITY = 3
#: Prompts of fewer tokens go first. An engine reads them so fast that those
#: behind them hardly notice; but they themselves would wait for others that
#: take ten times as long, and what is asked of them is to be quick.
SHORT_TOKENS = 2000


def place(
    customer_priority: int | None, route_priority: int, prompt_tokens: int
) -> int:
    """The place of a call, 0 first.

    :param customer_priority: 0 is the most urgent, like none.
    :param route_priority: likewise; counts for longer prompts only.
    :param prompt_tokens: of the whole prompt. What of it an engine holds
        in its cache is not known for sure.
    """
    first = (customer_priority or 0) * ROUTES_PER_CUSTOMER_PRIORITY
    if prompt_tokens >= SHORT_TOKENS:
        first += min(ROUTES_PER_CUSTOMER_PRIORITY - 1, route_priority)
    return min(LAST_PLACE, first)
