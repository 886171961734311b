"""Steps for tests/serving/observations.feature."""

from behave import then
from behave import when

from apricotlever.serving import metrics
from apricotlever.serving import observations


@when("two calls are served and one fails with a long reason")
def _served_and_failed_calls(context):
    observed = observations.Observations()
    observed.served("clerks", "stream", 0.1, 0.5)
    observed.served("clerks", "stream", 0.3, 0.9)
    observed.refused("broken:closed by the other side")
    context.metrics = observed.text(
        {"members": 3, "store_calls_total": 1234567},
        {
            ("in_flight", "runner"): {"r-1": 4},
            ("limit_part", "customer"): {"clerks": 0.875},
        },
    )


@then("the metrics hold")
def _metrics_hold(context):
    lines = context.metrics.splitlines()
    missing = [x for x in context.text.splitlines() if x not in lines]
    assert not missing, (missing, lines)


@when("calls of {count:d} customers are served")
def _many_customers(context, count):
    observed = observations.Observations()
    for number in range(count):
        observed.served(f"customer-{number}", "stream", 0.1, 0.5)
    context.metrics = observed.text({}, {})


@then("at most {count:d} histograms are kept")
def _histograms_bounded(context, count):
    lines = context.metrics.splitlines()
    assert sum("_count{" in line for line in lines) <= count


@when("the VM's metrics are read")
def _read_metrics(context):
    world = context.world
    context.metrics = metrics.text(
        world.relay,
        world.limits,
        world.configuration,
        {"cloud_calls_total": 2},
        {"watch_runners": 1},
    )
