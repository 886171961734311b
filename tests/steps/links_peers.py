"""Steps for the link between entry VMs."""

import asyncio
from concurrent import futures
import threading

import behave
from grpclib import client

from apricotlever import clock as clocks
from apricotlever.links import peer_grpc
from apricotlever.links import peer_pb2 as pb
from apricotlever.links import peers
from tests.links import silent_relay
from tests.support import ports

TIMEOUT_S = 5.0
SHORT_S = 0.3
MAX_AGE_S = 300.0
MESSAGES = {
    "Gossip": pb.GossipMessage(probe=pb.Probe(sequence=7)),
    "Run": pb.KeyedCall(request_id="r1"),
    "Crash": pb.CrashReport(),
    "Judge": pb.TrialQuestion(),
    "Handover": pb.HandoverPart(),
}


@behave.given("a peer link that answers gossip")
def a_link(context):
    """And a second one to call it from."""
    context.settle = futures.Future()
    context.asked = threading.Event()
    handlers = peers.Handlers()

    @handlers.answers("Gossip")
    def gossip(message):
        return pb.GossipMessage(ack=pb.Ack(sequence=message.probe.sequence))

    @handlers.answers("Run")
    def run(message):
        context.asked.set()
        return context.settle

    @handlers.answers("Crash")
    def crash(message):
        raise peers.PeerRefused("not now")

    @handlers.answers("Handover")
    def handover(message):
        raise RuntimeError("broken")

    context.clock = clocks.ManualClock()
    context.server = peers.PeerLink("127.0.0.1", 0, handlers)
    context.caller = peers.PeerLink(
        "127.0.0.1", 0, peers.Handlers(), context.clock, MAX_AGE_S
    )
    for link in (context.server, context.caller):
        link.start()
        context.closers.append(link.stop)
    context.address = context.server.address


@behave.given("a peer link that answers gossip, behind a relay")
def behind_relay(context):
    """With one connection that has worked."""
    a_link(context)
    context.relay = silent_relay.SilentRelay(context.server.address)
    context.closers.append(context.relay.close)
    context.address = context.relay.address
    answered(context, "Gossip")
    assert context.relay.accepted == 1


def _call(context, method, timeout_s=TIMEOUT_S, address=None):
    return context.caller.call(
        address or context.address, method, MESSAGES[method], timeout_s
    )


def _error(call, kind):
    try:
        call.result(TIMEOUT_S)
    except kind as error:
        return error
    raise AssertionError("no error")


@behave.then('a peer call "{method}" is answered with its own number')
def answered(context, method):
    """Not another's."""
    answer = _call(context, method).result(TIMEOUT_S)
    assert answer.ack.sequence == 7


@behave.then('a peer call "{method}" is refused with "{reason}"')
def refused(context, method, reason):
    """And the connection is kept."""
    error = _error(_call(context, method), peers.PeerRefused)
    assert error.message == reason
    assert context.caller.open_channels == 1


@behave.then("a peer call to a closed port is unavailable and was not sent")
def closed_port(context):
    """Nobody listens there."""
    reserved = ports.Reservations()
    context.closers.append(reserved.close)
    address = f"{ports.HOST}:{reserved.reserve()}"
    call = _call(context, "Gossip", address=address)
    assert not _error(call, peers.PeerUnavailable).sent


@behave.then('a peer call to "{address}" is unavailable and was not sent')
def bad_address(context, address):
    """No such form."""
    call = _call(context, "Gossip", address=address)
    assert not _error(call, peers.PeerUnavailable).sent


@behave.then('a peer call "{method}" is unavailable and may have been sent')
def maybe_sent(context, method):
    """The caller must not take it for not run."""
    call = _call(context, method, SHORT_S)
    assert _error(call, peers.PeerUnavailable).sent
    assert context.caller.open_channels == 0


@behave.then('a peer call "{method}" is unavailable and was not sent')
def not_sent(context, method):
    """The peer has stopped."""
    call = _call(context, method)
    assert not _error(call, peers.PeerUnavailable).sent


@behave.when("the peer relay goes silent on its connections")
def silent(context):
    """New ones work."""
    context.relay.go_silent()


@behave.then("a naive peer client times out twice")
def naive_times_out(context):
    """It keeps its channel."""

    async def twice():
        host, port = context.relay.address.split(":")
        channel = client.Channel(host, int(port))
        stub = peer_grpc.PeersStub(channel)
        await stub.Gossip(MESSAGES["Gossip"], timeout=TIMEOUT_S)
        context.relay.go_silent()
        failures = 0
        for _ in range(2):
            try:
                await stub.Gossip(MESSAGES["Gossip"], timeout=SHORT_S)
            except asyncio.TimeoutError:
                failures += 1
        channel.close()
        return failures

    assert asyncio.run(twice()) == 2


@behave.when("the peer connection is older than its bound")
def too_old(context):
    """By the caller's clock."""
    context.clock.advance(MAX_AGE_S + 1)


@behave.then("the peer relay has seen {count:d} connections")
def connections(context, count):
    """And the old one is closed."""
    assert context.relay.accepted == count
    assert context.caller.open_channels == 1


@behave.when('a peer call "{method}" is made and its future settled later')
def settled_later(context, method):
    """By another thread than the loop's."""
    context.call = _call(context, method)
    assert context.asked.wait(TIMEOUT_S)
    context.settle.set_result(pb.KeyedAnswer(request_id="r1"))


@behave.when(
    'a peer call "{method}" is made and the link is stopped meanwhile'
)
def stopped_meanwhile(context, method):
    """The call is settled while the stop waits for it."""
    context.call = _call(context, method)
    assert context.asked.wait(TIMEOUT_S)
    stopping = threading.Thread(target=context.server.stop)
    stopping.start()
    context.settle.set_result(pb.KeyedAnswer(request_id="r1"))
    stopping.join(TIMEOUT_S)
    assert not stopping.is_alive()


@behave.then("that peer call is answered")
def call_answered(context):
    """With the handler's message."""
    assert context.call.result(TIMEOUT_S).request_id == "r1"


@behave.when('a peer call "{method}" times out before its future is settled')
def gives_up(context, method):
    """The server sees the cancelled stream."""
    call = _call(context, method, SHORT_S)
    assert _error(call, peers.PeerUnavailable).sent
    answered(context, "Gossip")


@behave.then("the handler can still settle that future")
def still_whole(context):
    """It was not cancelled under it."""
    assert not context.settle.cancelled()
    context.settle.set_result(pb.KeyedAnswer())
