"""Steps for tests/serving/peer_http.feature."""

import asyncio
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgpack

from apricotlever.serving import caller_server
from apricotlever.serving import peer_http

VERSION = 9
TIMEOUT_S = 20.0


class NewsSource:
    """A VM with a configuration of so many routes."""

    version = VERSION

    def __init__(self, routes):
        rng = random.Random(routes)
        self.spec = {
            "version": VERSION,
            "routes": [_route(rng) for _ in range(routes)],
        }

    def configuration_after(self, version):
        """The configuration document; None unless newer than a version."""
        return self.spec if self.version > version else None

    #: The hosts that it knows; all if it is empty.
    peers = ()

    def is_peer(self, host):
        """Whether it knows a host."""
        return not self.peers or host in self.peers


def _route(rng):
    return {
        "name": f"r-{rng.getrandbits(40):x}",
        "hostname": f"host{rng.randrange(9)}.example",
        "path_prefix": f"/{rng.getrandbits(40):x}/",
        "type": "streaming",
        "timeout_ms": 4000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": f"service-{rng.randrange(4)}",
        "max_attempts": 2,
        "public": False,
        "session_affinity": True,
        "stream_resume": True,
        "target_gap_ms": 300,
    }


async def _fetch(context, count, above):
    server = caller_server.CallerServer(context.server.answer)
    port = await server.listen("127.0.0.1", 0)
    clients = [peer_http.PeerClient() for _ in range(count)]
    address = f"127.0.0.1:{port}"
    found = await asyncio.gather(
        *(client.configuration(address, above) for client in clients)
    )
    server.close()
    return found


@given("a VM with a configuration of {routes:d} routes")
def _vm(context, routes):
    context.source = NewsSource(routes)
    context.server = peer_http.PeerServer(context.source)


@when("{count:d} other VMs fetch it")
def _others(context, count):
    with mock.patch.object(
        peer_http.msgpack, "packb", side_effect=msgpack.packb
    ) as packb:
        work = asyncio.wait_for(_fetch(context, count, 0), TIMEOUT_S)
        context.fetched = asyncio.run(work)
    context.encode_count = packb.call_count


@when("a VM that has the same version fetches it")
def _same(context):
    work = asyncio.wait_for(_fetch(context, 1, VERSION), TIMEOUT_S)
    context.fetched = asyncio.run(work)


@then("each of them gets it unchanged")
def _each(context):
    assert all(spec == context.source.spec for spec in context.fetched)


@then("it was encoded once, into less than a quarter of its length")
def _once(context):
    assert context.encode_count == 1, context.encode_count
    sent = len(context.server._configuration(0))
    assert sent < len(msgpack.packb(context.source.spec)) / 4, sent


@then("the timeout of its fetch is at least {seconds:d} seconds")
def _seconds(context, seconds):
    assert peer_http.CONFIGURATION_FETCH_TIMEOUT_S >= seconds


@then("no configuration is returned")
def _none(context):
    assert context.fetched == [None]


@given("a peer that answers nothing but the changes of runners after 7")
def _mostly_silent(context):
    async def answer(raw, reply):
        if raw.target == f"{peer_http.RUNNERS_PATH}?7":
            reply.send_whole(200, (), msgpack.packb([[], {"r1": 8}]))
        else:
            await asyncio.sleep(TIMEOUT_S)

    context.server = mock.Mock(answer=answer)


@when("a VM fetches its configuration, its whole directory and those changes")
def _fetches(context):
    async def fetch():
        server = caller_server.CallerServer(context.server.answer)
        port = await server.listen("127.0.0.1", 0)
        client, address = peer_http.PeerClient(), f"127.0.0.1:{port}"
        slow = [
            asyncio.ensure_future(client.configuration(address, 0)),
            asyncio.ensure_future(client.runners(address, -1)),
        ]
        # Both have taken their connections.
        await asyncio.sleep(0.1)
        context.fetched = await client.runners(address, 7)
        for task in slow:
            task.cancel()
        server.close()

    asyncio.run(asyncio.wait_for(fetch(), TIMEOUT_S))


@then("the changes arrive")
def _changes(context):
    assert context.fetched == ([], {"r1": 8}), context.fetched


@given("it knows a VM at {host} only")
def _knows(context, host):
    context.source.peers = (host,)


@when("VMs at {first} and {second} fetch it five times each")
def _fetch_from(context, first, second):
    async def fetch_all():
        server = caller_server.CallerServer(context.server.answer)
        port = await server.listen("127.0.0.1", 0)
        context.got = {}
        for host in (first, second):
            client = peer_http.PeerClient(host)
            context.got[host] = [
                await client.configuration(f"127.0.0.1:{port}", 0)
                for _ in range(5)
            ]
        server.close()

    with mock.patch.object(peer_http.logs, "event") as event:
        asyncio.run(fetch_all())
    context.refusals = [
        call for call in event.call_args_list if call.args == ("peer_refused",)
    ]


@then("the first one gets it and the other does not")
def _first_only(context):
    first, second = context.got.values()
    assert first == [context.source.spec] * 5, first
    assert second == [None] * 5, second


@then("the refusals of the other are one line of its log")
def _one_line(context):
    assert len(context.refusals) == 1, context.refusals
