"""Steps for tests/serving/no_time.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import model as models
from apricotlever.serving import configuration_model
from apricotlever.serving import messages
from apricotlever.vms import peer_loads
from standins import plain_dialect
from tests.serving import request_path

WAIT_S = 10.0
TOKENS = 1000


class _PromptDialect(plain_dialect.PlainCallerDialect):
    """Declares a prompt with each call."""

    def parse_call(self, *parts):
        """Parse a call and add a prompt."""
        call = super().parse_call(*parts)
        call.prompt = messages.Prompt(
            TOKENS, 10, (messages.PromptPart("own", TOKENS),)
        )
        return call


def _run(context, work):
    return context.loop.run(asyncio.wait_for(work, WAIT_S))


@given(
    "{count:d} runners that answer prompts and {tokens:d} waiting tokens at "
    "each of {busy:d}"
)
def _runners(context, count, tokens, busy):
    context.loop = asyncio.Runner()
    context.clock = clocks.ManualClock(100.0)
    context.world = world = request_path.RequestPath(
        part_modes=context.part_modes,
        callers=_PromptDialect(),
        clock=context.clock,
    )
    _run(context, world.start())
    context.closers.append(context.loop.close)
    context.closers.append(lambda: _run(context, world.stop()))
    world.configure(configuration_model.CallKind.NON_IDEMPOTENT)
    for _ in range(count):
        _run(context, world.add_runner(["answers"]))
    world.upstreams.refresh()
    names = [runner.runner_id for runner in world.directory.runners]
    world.upstreams.update_peer_loads(
        peer_loads.PeerLoads({}, dict.fromkeys(names[:busy], tokens), {}, {})
    )


@given(
    "{count:d} prompts of level {level:d} that have waited for {seconds:f} s"
)
def _waiting(context, count, level, seconds):
    upstreams = context.world.upstreams
    runner = context.world.directory.runners[0]
    for number in range(count):
        query = models.Query(
            "r", "service", "", prompt_tokens=10, priority=level
        )
        upstreams.call_started(f"waiting-{number}", runner, query)
    context.clock.advance(seconds)


@when("a prompt with {seconds:d} seconds left is sent")
def _send(context, seconds):
    context.replies = [
        _run(context, context.world.call(more=f"Wait-S: {seconds}\r\n"))
    ]


@then('the status is {status:d} and the refusal is "{reason}"')
def _check(context, status, reason):
    reply = context.replies[-1]
    assert reply.status == status, (reply.status, reply.body)
    text = context.world.relay.observations.format_text({}, {})
    found = 'refused_total{reason="no_time"} 1' in text
    assert found == (reason == "no_time"), text
    if found:
        assert float(reply.headers["retry-after"]) > 1.0
