"""Metrics of one entry VM in the text format of Prometheus."""

import typing

from . import call_relay
from . import configuration_model
from . import customer_limits
from . import task_supervisor


def format_metrics(
    relay_: call_relay.CallRelay,
    limits_: customer_limits.CustomerLimits,
    configuration: configuration_model.Configuration | None,
    gauges: typing.Mapping[str, float],
    tasks: task_supervisor.TaskSupervisor,
    helped: typing.Mapping[str, int],
) -> str:
    """Format all metrics in the text format of Prometheus.

    :param relay_: the request path, with its own metrics.
    :param limits_: the customers' rate limits.
    :param configuration: the active configuration; None without one.
    :param gauges: metrics of the rest of the process, by name.
    :param tasks: restarts tasks, and counts rounds that failed.
    :param helped: number of calls of other VMs that ended here, by result.
    """
    upstreams = relay_.upstreams
    calls = upstreams.outcome_counts
    fragile = upstreams.runner_limits.fragile
    services = configuration.services if configuration else ()
    return relay_.observations.format_text(
        {**gauges, **relay_.budget.gauges, **upstreams.crashes.gauges},
        {
            ("crash_blocks_total", "decision"): upstreams.crashes.decisions,
            ("task_restarts_total", "task"): tasks.restarts,
            ("task_failures_total", "task"): tasks.failures,
            ("in_flight", "runner"): upstreams.in_flight,
            ("waiting_tokens", "runner"): upstreams.pending_tokens,
            ("runner_calls_total", "runner"): {
                runner: total for runner, (_, total) in calls.items()
            },
            ("runner_failures_total", "runner"): {
                runner: failed for runner, (failed, _) in calls.items()
            },
            ("runner_limit", "runner"): (
                upstreams.runner_limits.stated.in_force
            ),
            ("runner_fragile", "runner"): fragile.local.stated.in_force,
            ("runner_fragile_room", "runner"): fragile.local.rooms,
            ("runner_fragile_running", "runner"): {
                runner: fragile.local.keeper.running(runner)
                for runner in fragile.local.rooms
            },
            ("runner_fragile_rejections_total", "runner"): (
                fragile.heard_rejections
            ),
            ("runner_rest_s", "runner"): upstreams.statements.rests.left_s,
            ("runner_says_leaving", "runner"): dict.fromkeys(
                upstreams.statements.leavings.names, 1
            ),
            **upstreams.performance.labelled_metrics,
            ("retries_left", "service"): {
                service: relay_.budget.remaining(service)
                for service in services
            },
            **{
                (metric, "service"): totals
                for metric, totals in relay_.budget.counts.items()
            },
            ("limit_left", "customer"): limits_.levels,
            ("limit_part", "customer"): limits_.usable_fractions,
            ("stream_resumptions_total", "source"): upstreams.origins.results,
            ("service_versions", "service"): upstreams.origins.history.counts,
            ("forwarded_calls_total", "result"): relay_.helpers.results,
            ("helped_calls_total", "result"): helped,
            **upstreams.priorities.metrics(),
        },
    )
