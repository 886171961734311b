"""Adds up the slots and prices of the runners that a router knows."""

from ..contracts import admission
from ..runners import model as runners
from ..runners import routing


def by_pool(router: routing.Router) -> dict[str, admission.PoolCapacity]:
    """The size and price of each pool, without the runners that leave.

    :param router: knows the runners, and which of them leave.
    """
    available: dict[str, list[runners.Runner]] = {}
    for runner in router.runners:
        members = available.setdefault(runner.pool, [])
        if not router.is_leaving(runner.name):
            members.append(runner)
    return {pool: _capacity(members) for pool, members in available.items()}


def _capacity(members: list[runners.Runner]) -> admission.PoolCapacity:
    slots = sum(runner.slots for runner in members)
    price = sum(runner.price_per_hour for runner in members)
    return admission.PoolCapacity(slots, price / max(1, slots))
