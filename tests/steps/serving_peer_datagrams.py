"""Steps for tests/serving/peer_datagrams.feature."""

import asyncio
import random
import socket
import time
from unittest import mock
import zlib

from behave import given
from behave import then
from behave import when
import msgpack

from apricotlever import addresses
from apricotlever import clock as clocks
from apricotlever import logs
from apricotlever.serving import fleet_link
from apricotlever.serving import modes
from apricotlever.serving import peer_datagrams
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners
from apricotlever.serving import settings
from apricotlever.serving import task_supervisor
from apricotlever.vms import vm_records

HOST = "127.0.0.1"
ARRIVAL_TIMEOUT_S = 10.0
POLL_S = 0.001


class Receiver:
    """Keeps the messages that it receives."""

    def __init__(self):
        self.received = []

    def receive_message(self, message):
        """Keep a message."""
        self.received.append(message)


class LocalVm:
    """A VM whose records are empty."""

    version = 0

    def receive_record(self, record):
        """Ignore a peer's record."""

    def record(self, number, known, whole, aggregator):
        """Create an empty record."""
        return _record()

    def runners_changed(self, ended):
        """Ignore changes of the runners."""


def _record(number=1, host=HOST):
    return vm_records.VmRecord(f"vm-{number}", 1, 1, f"{host}:9", "", "dc")


def _send(context, data):
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.closers.append(sender.close)
    sender.sendto(data, (HOST, context.port))


_packed = peer_datagrams.pack


def _read_until(context, count):
    """Read until so many records arrived; datagrams may be in transit."""
    until = time.monotonic() + ARRIVAL_TIMEOUT_S
    received = context.message_receiver.received
    while len(received) < count and time.monotonic() < until:
        context.datagrams.receive_pending()
        time.sleep(POLL_S)
    return received


def _wait_for_datagram(context):
    """Wait until the socket has an unread datagram."""
    opened = context.link._datagrams._socket
    until = time.monotonic() + ARRIVAL_TIMEOUT_S
    while time.monotonic() < until:
        try:
            return opened.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            time.sleep(POLL_S)
    raise AssertionError("no datagram arrived")


@given("a VM that receives records")
def _vm(context):
    context.message_receiver = Receiver()
    context.datagrams = peer_datagrams.PeerSocket(context.message_receiver)
    context.datagrams.listen(HOST, 0)
    context.port = context.datagrams.port
    context.closers.append(context.datagrams.close)


@when("{count:d} records arrive from the addresses that they name")
def _arrive(context, count):
    for number in range(count):
        _send(context, _packed(_record(number)))


@then("{count:d} records are processed by the next read")
def _processed(context, count):
    received = _read_until(context, count)
    assert {d.vm for d in received} == {
        f"vm-{i}" for i in range(count)
    }, received


@then("the read after that processes none")
def _none(context):
    before = len(context.message_receiver.received)
    context.datagrams.receive_pending()
    assert len(context.message_receiver.received) == before


@when("a record arrives that is {bad}")
def _bad(context, bad):
    whole = _packed(_record())
    data = {
        "from another VM's address": _packed(_record(host="127.0.0.2")),
        "truncated": whole[:-3],
        "not compressed": msgpack.packb(_record().to_record()),
        "malformed": zlib.compress(msgpack.packb(["vm"])),
        "too long": zlib.compress(
            bytes(4 * peer_datagrams.MAX_UNPACKED_BYTES)
        ),
    }[bad]
    context.logged = []
    logs.setup_writer("vm-0", lambda name, text: context.logged.append(text))
    context.closers.append(logs.teardown)
    _send(context, data)


@then('no record is processed and "{reason}" is logged')
def _refused(context, reason):
    until = time.monotonic() + ARRIVAL_TIMEOUT_S
    while not context.logged and time.monotonic() < until:
        context.datagrams.receive_pending()
        time.sleep(POLL_S)
    assert any(f"reason={reason}" in x for x in context.logged), context.logged
    assert not context.message_receiver.received


@when("it reads an endless flood of records")
def _flood(context):
    class Endless:
        """A socket that always has another datagram."""

        def recvfrom(self, size):
            """Return a datagram."""
            return _packed(_record()), (HOST, 9)

        def close(self):
            """Do nothing."""

    context.datagrams.close()
    context.datagrams._socket = Endless()
    context.datagrams.receive_pending()


@then("one read ends after {count:d} of them")
def _ends(context, count):
    assert len(context.message_receiver.received) == count, len(
        context.message_receiver.received
    )


def _node_settings(mode="on"):
    here = addresses.Address(HOST, 0)
    return settings.NodeSettings(
        "vm-0",
        "dc",
        ("dc",),
        here,
        None,
        None,
        here,
        None,
        (),
        here,
        None,
        False,
        False,
        settings.FleetBounds(),
        modes=modes.PartModes.from_setting({"notices": mode}),
    )


@given("a VM with a fleet link")
def _fleet_vm(context, mode="on"):
    clock = context.clock = clocks.ManualClock()
    context.directory = directories.RunnerDirectory(clock)
    context.link = fleet_link.FleetLink(
        clock,
        random.Random(1),
        _node_settings(mode),
        LocalVm(),
        context.directory,
        task_supervisor.TaskSupervisor(),
    )
    context.link._datagrams.listen(HOST, 0)
    context.port = context.link._datagrams.port
    context.closers.append(context.link.close)


@given("a VM whose fleet link has received records of {count:d} other VMs")
def _received(context, count):
    _fleet_vm(context)
    context.sent = []
    for number in range(1, count + 1):
        context.link._table.receive_record(_record(number, f"10.0.0.{number}"))
    # The first tick selects the aggregators.
    context.link._record_exchange.tick()

    def send(message, receivers):
        context.sent.append(receivers)

    context.link._datagrams = mock.Mock(
        wraps=context.link._datagrams, send=send
    )


@when("{count:d} prompts are sent to runners at once")
def _prompts(context, count):
    async def publish():
        for _ in range(count):
            context.link.publish_soon()
        # Timers fire in the order of their times. So the record is sent before
        # this sleep ends, however slow the machine is.
        await asyncio.sleep(0.1)

    asyncio.run(publish())


@then("{count:d} record is sent within 0.1 seconds to {receivers:d} receivers")
def _sent(context, count, receivers):
    assert [len(each) for each in context.sent] == [
        receivers
    ] * count, context.sent


@when("{count:d} records wait until the VM detects that it was suspended")
def _suspended(context, count):
    for number in range(1, count + 1):
        _send(context, _packed(_record(number)))
    # Loopback delivers datagrams in order and at once, so that all have
    # arrived when one has.
    _wait_for_datagram(context)
    context.link.handle_stall()


@then("no peer counts as alive afterwards")
def _nobody(context):
    asyncio.run(context.link._receive_pending())
    assert not context.link.alive, [d.vm for d in context.link.alive]


@when("it sends a record to an unreachable receiver and a reachable one")
def _sends(context):
    context.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.receiver.bind((HOST, 0))
    context.receiver.settimeout(ARRIVAL_TIMEOUT_S)
    context.closers.append(context.receiver.close)
    port = context.receiver.getsockname()[1]
    context.datagrams.send(_record(), ["255.255.255.255:9", f"{HOST}:{port}"])


@then("the reachable receiver gets the record")
def _has(context):
    data = context.receiver.recv(peer_datagrams.MAX_DATAGRAM_BYTES)
    assert data == _packed(_record())


def _random_name(rng):
    return "".join(rng.choices("abcdefgh", k=4)) + str(rng.randrange(9999))


@given("a record of a VM with {customers:d} customers and {count:d} runners")
def _busy(context, customers, count):
    rng = random.Random(count)
    names = [_random_name(rng) for _ in range(customers)]
    busy = [f"i-{rng.getrandbits(40):010x}" for _ in range(count)]
    context.record = _record()
    context.record.used = {name: rng.randrange(10**6) for name in names}
    context.record.usage = {
        window: {name: rng.randrange(1, 9) for name in names[: customers // 2]}
        for window in range(3)
    }
    context.record.failures = {name: (1, rng.randrange(99)) for name in busy}
    context.record.in_flight = {name: 2 for name in busy[:4]}
    context.record.known = [
        f"10.3.64.{rng.randrange(250)}:8207" for _ in range(24)
    ]


@then("it is sent in less than {part:g} of its uncompressed length")
def _short(context, part):
    whole = len(msgpack.packb(context.record.to_record()))
    sent = len(peer_datagrams.pack(context.record))
    assert sent < part * whole, (sent, whole)


@then("it is the same after decoding")
def _decoded(context):
    decoded = peer_datagrams.unpack(peer_datagrams.pack(context.record))
    expected = msgpack.unpackb(
        msgpack.packb(context.record.to_record()), strict_map_key=False
    )
    assert decoded.to_record() == expected


@when("two peers with newer runners send records and the first never answers")
def _slow_peer(context):
    context.asked = []

    class Client:
        """Fetches from peers of which the first never answers."""

        async def runners(self, address, above):
            """Fetch changes."""
            context.asked.append(address)
            if len(context.asked) == 1:
                await asyncio.sleep(ARRIVAL_TIMEOUT_S)
            return [], {}

    async def receive():
        context.link._fetcher._client = Client()
        for number in (1, 2):
            record = _record(number, f"10.0.0.{number}")
            record.directory = 9
            record.runners = context.directory.checksum
            context.link.receive_message(record)
            context.clock.advance(0.25)
            await asyncio.sleep(0.01)

    asyncio.run(receive())


@then("changes of runners are fetched from both")
def _both_asked(context):
    assert context.asked == ["10.0.0.1:9", "10.0.0.2:9"], context.asked


@given("a VM with a fleet link and the notices {mode}")
def _fleet_vm_with_mode(context, mode):
    _fleet_vm(context, mode)
    context.logged = []
    logs.setup_writer("vm-0", lambda name, text: context.logged.append(name))
    context.closers.append(logs.teardown)


@when("a peer's record has a notice of a known runner")
def _notice(context):
    runner = runners.Runner("r1", "s", "h", 80, "dc", 4, revision=3, born=7)
    context.directory.apply_entry(runner)
    record = _record()
    record.runners = context.directory.checksum
    record.notices = [["r1", 7, 4]]
    context.link.receive_message(record)


@then("the runner takes work: {takes}, and the VM repeats it: {repeats}")
def _marked(context, takes, repeats):
    available = context.directory.available_runners("s")
    assert bool(available) == (takes == "yes"), available
    sent = context.link._record_exchange.notices.due()
    assert bool(sent) == (repeats == "yes"), sent


@then("the event runner_notice is logged: {logged}")
def _notice_logged(context, logged):
    assert ("runner_notice" in context.logged) == (logged == "yes")
