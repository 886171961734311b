"""Steps for the link between entry VMs."""

import asyncio
from concurrent import futures
import threading
import time

import behave
from grpclib import client
from h2 import events

from apricotlever import clock as clocks
from apricotlever.links import peer_grpc
from apricotlever.links import peer_link
from apricotlever.links import peer_pb2 as pb
from tests.links import goaway_peer
from tests.links import packet_drop_relay
from tests.support import ports

TIMEOUT_S = 5.0
SHORT_TIMEOUT_S = 0.3
MAX_AGE_S = 300.0
REQUESTS = {
    "Gossip": pb.GossipMessage(probe=pb.Probe(sequence=7)),
    "Run": pb.KeyedCall(request_id="r1"),
    "Crash": pb.CrashReport(),
    "Judge": pb.TrialQuestion(),
    "Handover": pb.HandoverPart(),
}


@behave.given("a peer link that answers gossip")
def two_links(context):
    """Start this link and a second one that calls it."""
    context.handler_future = futures.Future()
    context.handler_called = threading.Event()
    handlers = peer_link.Handlers()

    @handlers.register("Gossip")
    def gossip(message):
        return pb.GossipMessage(ack=pb.Ack(sequence=message.probe.sequence))

    @handlers.register("Run")
    def run(message):
        context.handler_called.set()
        return context.handler_future

    @handlers.register("Crash")
    def crash(message):
        raise peer_link.PeerRefused("not now")

    @handlers.register("Handover")
    def handover(message):
        raise RuntimeError("broken")

    context.clock = clocks.ManualClock()
    context.server = peer_link.PeerLink("127.0.0.1", 0, handlers)
    context.caller = peer_link.PeerLink(
        "127.0.0.1", 0, peer_link.Handlers(), context.clock, MAX_AGE_S
    )
    for link in (context.server, context.caller):
        link.start()
        context.closers.append(link.stop)
    context.address = context.server.address


@behave.given("a peer link that answers gossip, behind a relay")
def behind_relay(context):
    """Open one connection through the relay and check that it works."""
    two_links(context)
    context.relay = packet_drop_relay.PacketDropRelay(context.server.address)
    context.closers.append(context.relay.close)
    context.address = context.relay.address
    answered(context, "Gossip")
    assert context.relay.accepted == 1


def _call(context, method, timeout_s=TIMEOUT_S, address=None):
    return context.caller.call(
        address or context.address, method, REQUESTS[method], timeout_s
    )


def _expect_error(call, kind):
    try:
        call.result(TIMEOUT_S)
    except kind as error:
        return error
    raise AssertionError("no error")


@behave.then('a peer call "{method}" is answered with its own sequence number')
def answered(context, method):
    """The answer must not belong to another call."""
    answer = _call(context, method).result(TIMEOUT_S)
    assert answer.ack.sequence == 7


@behave.then('a peer call "{method}" is refused with "{reason}"')
def refused(context, method, reason):
    """The connection must stay open for further calls."""
    error = _expect_error(_call(context, method), peer_link.PeerRefused)
    assert error.message == reason
    assert context.caller.open_channel_count == 1


@behave.then("a peer call to a closed port is unavailable and was not sent")
def closed_port(context):
    """Call a port on which no process listens."""
    reserved = ports.PortReservations()
    context.closers.append(reserved.close)
    address = f"{ports.HOST}:{reserved.reserve()}"
    call = _call(context, "Gossip", address=address)
    assert not _expect_error(call, peer_link.PeerUnavailable).sent


@behave.then('a peer call to "{address}" is unavailable and was not sent')
def bad_address(context, address):
    """Call an address that is not of the form host:port."""
    call = _call(context, "Gossip", address=address)
    assert not _expect_error(call, peer_link.PeerUnavailable).sent


@behave.then('a peer call "{method}" is unavailable and may have been sent')
def may_have_been_sent(context, method):
    """The caller must not conclude that the call was not run."""
    call = _call(context, method, SHORT_TIMEOUT_S)
    assert _expect_error(call, peer_link.PeerUnavailable).sent
    assert context.caller.open_channel_count == 0


@behave.then('a peer call "{method}" is unavailable and was not sent')
def not_sent(context, method):
    """The peer refuses connections after it has stopped."""
    call = _call(context, method)
    assert not _expect_error(call, peer_link.PeerUnavailable).sent


@behave.when("the peer relay drops the traffic of its open connections")
def drops_traffic(context):
    """New connections still work."""
    context.relay.drop_open_connections()


@behave.then("a peer client that keeps its connection times out twice")
def keeps_timing_out(context):
    """The client uses one grpclib channel for all calls."""

    async def call_twice():
        host, port = context.relay.address.split(":")
        channel = client.Channel(host, int(port))
        stub = peer_grpc.PeersStub(channel)
        await stub.Gossip(REQUESTS["Gossip"], timeout=TIMEOUT_S)
        context.relay.drop_open_connections()
        failures = 0
        for _ in range(2):
            try:
                await stub.Gossip(REQUESTS["Gossip"], timeout=SHORT_TIMEOUT_S)
            except asyncio.TimeoutError:
                failures += 1
        channel.close()
        return failures

    assert asyncio.run(call_twice()) == 2


@behave.when("the peer connection is older than its maximum age")
def past_maximum_age(context):
    """Advance the clock that the caller measures the age by."""
    context.clock.advance(MAX_AGE_S + 1)


@behave.then("the peer relay has accepted {count:d} connections")
def accepted_connections(context, count):
    """The caller must have closed the old connection."""
    assert context.relay.accepted == count
    assert context.caller.open_channel_count == 1


@behave.when('a peer call "{method}" is made and its future completes later')
def completed_later(context, method):
    """Complete it on another thread than the event loop's."""
    context.call = _call(context, method)
    assert context.handler_called.wait(TIMEOUT_S)
    context.handler_future.set_result(pb.KeyedAnswer(request_id="r1"))


@behave.when(
    'a peer call "{method}" is made and the link is stopped meanwhile'
)
def stopped_meanwhile(context, method):
    """Complete the call's future while the stop waits for the call."""
    context.call = _call(context, method)
    assert context.handler_called.wait(TIMEOUT_S)
    stopper = threading.Thread(target=context.server.stop)
    stopper.start()
    context.handler_future.set_result(pb.KeyedAnswer(request_id="r1"))
    stopper.join(TIMEOUT_S)
    assert not stopper.is_alive()


@behave.then("that peer call is answered")
def call_answered(context):
    """The answer must be the handler's message."""
    assert context.call.result(TIMEOUT_S).request_id == "r1"


@behave.when('a peer call "{method}" times out before its future completes')
def caller_times_out(context, method):
    """A further call gives the server time to see the cancelled stream."""
    call = _call(context, method, SHORT_TIMEOUT_S)
    assert _expect_error(call, peer_link.PeerUnavailable).sent
    answered(context, "Gossip")


@behave.then("the handler can still complete that future")
def future_intact(context):
    """The future must not have been cancelled."""
    assert not context.handler_future.cancelled()
    context.handler_future.set_result(pb.KeyedAnswer())


def _calls_goaway_server(context, *arguments, **options):
    answer = pb.GossipMessage(ack=pb.Ack(sequence=7))
    peer = goaway_peer.GoAwayServer(answer, *arguments, **options)
    context.caller = peer_link.PeerLink("127.0.0.1", 0, peer_link.Handlers())
    context.caller.start()
    context.closers.append(context.caller.stop)
    context.address = peer.address


@behave.given(
    "a peer that names stream {last:d} in a GOAWAY after its second call"
)
def goaway_after_second_call(context, last):
    """The call has been sent completely when the GOAWAY arrives."""
    _calls_goaway_server(context, 1, last)


@behave.given("a peer that sends its first answer together with a GOAWAY")
def goaway_with_answer(context):
    """Both stand in one packet, so that the caller reads them at once."""
    _calls_goaway_server(context, 1, 1, at_once=True)


@behave.given('a slow client whose call "{method}" it has answered')
def slow_client(context, method):
    """The client reads only when told."""
    context.slow = goaway_peer.SlowClient(context.address)
    context.closers.append(context.slow.close)
    context.slow.call(method, REQUESTS[method])
    context.slow.read_until(events.StreamEnded)


@behave.when("the link stops")
def link_stops(context):
    """Wait until it accepts no more connections."""
    context.stopper = threading.Thread(target=context.server.stop)
    context.stopper.start()
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            goaway_peer.SlowClient(context.address).close()
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            # The listening socket was closed during the handshake; the next
            # attempt has to be refused.
            continue
    raise AssertionError("the link still accepts connections")


@behave.when('the slow client calls "{method}" before it reads')
def slow_client_calls(context, method):
    """The call crosses the GOAWAY."""
    context.slow.call(method, REQUESTS[method])


@behave.then("it reads a GOAWAY that names stream {last:d}, {rest}")
def reads_goaway(context, last, rest):
    """A reset before the end raises an error."""
    seen = context.slow.read_until(events.ConnectionTerminated)
    assert seen.last_stream_id == last, seen
    context.slow.read_end()
    context.stopper.join(TIMEOUT_S)


@behave.then('the handler of "Run" was not called')
def run_not_called(context):
    """The link has stopped, so that it can't be called later either."""
    assert not context.stopper.is_alive()
    assert not context.handler_called.is_set()


@behave.when('a peer call "{method}" outlasts the stop of the link')
def outlasts_stop(context, method):
    """The handler's future never completes."""
    context.call = _call(context, method)
    assert context.handler_called.wait(TIMEOUT_S)
    context.server.stop(SHORT_TIMEOUT_S)


@behave.then("that peer call is unavailable and may have been sent")
def running_call_may_have_been_sent(context):
    """Its handler was called."""
    assert _expect_error(context.call, peer_link.PeerUnavailable).sent
