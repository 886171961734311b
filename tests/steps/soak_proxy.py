"""Steps for tests/soak/proxy.feature."""

import asyncio

from behave import given
from behave import then
from behave import when

from soak import proxy

#: How long a connection or an answer may take, in seconds.
TIMEOUT_S = 0.3
MESSAGE = b"message"


async def _echo(reader, writer):
    try:
        while data := await reader.read(100):
            writer.write(data)
    except (ConnectionError, asyncio.CancelledError):
        pass
    writer.close()


class _World:
    """An echo server, a proxy to it and a connection through it."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.run(self._start())

    def run(self, awaitable):
        """The result of an awaitable, within the time limit."""
        return self.loop.run_until_complete(
            asyncio.wait_for(awaitable, TIMEOUT_S)
        )

    def call(self, function, *arguments):
        """Call a function of the proxy on the loop."""

        async def call():
            function(*arguments)

        self.run(call())

    async def _start(self):
        self._server = await asyncio.start_server(_echo, proxy.HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.proxy = proxy.FaultProxy(port)
        self.proxy.start()
        self.open = await self.connect()
        await self.echo(self.open)

    async def connect(self):
        return await asyncio.open_connection(proxy.HOST, self.proxy.port)

    async def echo(self, connection):
        """Send a message and read its answer."""
        connection[1].write(MESSAGE)
        return await connection[0].readexactly(len(MESSAGE))

    async def connect_and_echo(self):
        connection = await self.connect()
        answer = await self.echo(connection)
        connection[1].close()
        return answer

    def close(self):
        async def close():
            self.proxy.close()
            self._server.close()
            self.open[1].transport.abort()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(close())
        self.loop.close()


def _outcome(world, awaitable):
    """What became of a connection or message."""
    try:
        assert world.run(awaitable) == MESSAGE
    except TimeoutError:
        return "times out"
    except ConnectionRefusedError:
        return "is refused"
    except (ConnectionError, EOFError):
        return "is reset"
    return "echoes"


@given("a proxy with an open connection to an echo server")
def _open(context):
    context.world = _World()
    context.closers.append(context.world.close)


@when("the proxy is cut by {cut}, healed and cut by {again}")
def _cut_again(context, cut, again):
    context.world.call(context.world.proxy.cut, proxy.Cut(cut))
    context.world.call(context.world.proxy.heal)
    context.world.call(context.world.proxy.cut, proxy.Cut(again))


@when("the proxy is cut by {cut}")
def _cut(context, cut):
    context.world.call(context.world.proxy.cut, proxy.Cut(cut))


@when("the cut ends")
def _heal(context):
    context.world.call(context.world.proxy.heal)


@when("the target goes down")
def _go_down(context):
    context.world.call(context.world.proxy.set_down, True)


@when("the target is up again")
def _come_up(context):
    context.world.call(context.world.proxy.set_down, False)


@then("a new connection {outcome}")
def _check_new(context, outcome):
    found = _outcome(context.world, context.world.connect_and_echo())
    assert found == outcome, found


@then("a message on the open connection had its answer")
def _check_late_answer(context):
    reader = context.world.open[0]
    answer = context.world.run(reader.readexactly(len(MESSAGE)))
    assert answer == MESSAGE, answer


@then("a message on the open connection {outcome}")
def _check_open(context, outcome):
    outcome = "times out" if outcome == "has no answer" else outcome
    found = _outcome(context.world, context.world.echo(context.world.open))
    assert found == outcome, found
