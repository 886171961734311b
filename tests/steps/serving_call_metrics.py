"""Steps for tests/serving/call_metrics.feature."""

from behave import then
from behave import when

from apricotlever.serving import call_metrics
from apricotlever.serving import metrics
from apricotlever.serving import task_supervisor


@when("two calls are served and one fails with a long reason")
def _served_and_failed_calls(context):
    observed = call_metrics.CallMetrics()
    observed.record_served("clerks", "stream", 0.1, 0.5)
    observed.record_served("clerks", "stream", 0.3, 0.9)
    observed.record_refused("broken:closed by the other side")
    context.metrics = observed.format_text(
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
    observed = call_metrics.CallMetrics()
    for number in range(count):
        observed.record_served(f"customer-{number}", "stream", 0.1, 0.5)
    context.metrics = observed.format_text({}, {})


@then("at most {count:d} histograms are kept")
def _histograms_bounded(context, count):
    lines = context.metrics.splitlines()
    assert sum("_count{" in line for line in lines) <= count


@when("the VM's metrics are read")
def _read_metrics(context):
    world = context.world
    context.tasks = task_supervisor.TaskSupervisor()
    context.tasks.restarts["watch_runners"] = 1
    context.metrics = metrics.format_metrics(
        world.relay,
        world.limits,
        world.configuration,
        {"cloud_calls_total": 2},
        context.tasks,
        {},
    )
