"""The rows of the dispatcher's status document."""

from ..contracts import spend_meter
from ..runners import routing


def runner_rows(router: routing.Router) -> list[dict[str, object]]:
    """One row for each runner that the router knows.

    :param router: knows the runners and this VM's requests at them.
    """
    return [
        {
            "runner": runner.name,
            "pool": runner.pool,
            "data_centre": runner.data_centre,
            "leaving": router.is_leaving(runner.name),
            "in_flight": router.own_in_flight(runner.name),
        }
        for runner in router.runners
    ]


def cost_rows(meter: spend_meter.SpendMeter) -> list[dict[str, object]]:
    """One row for each customer and entry with costs.

    :param meter: the costs, in the currency of the platform's prices.
    """
    return [
        {
            "customer": line.customer,
            "entry": line.entry,
            "requests": line.requests,
            "cost": round(line.amount, 6),
        }
        for line in meter.totals
    ]
