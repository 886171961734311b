"""Steps for tests/serving/datagrams.feature."""

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
from apricotlever.serving import datagrams
from apricotlever.serving import directory as directories
from apricotlever.serving import fleet_link
from apricotlever.serving import settings
from apricotlever.serving import tasks
from apricotlever.vms import vm_records

HOST = "127.0.0.1"
ARRIVED_S = 10.0
POLL_S = 0.001


class Receiver:
    """Keeps what it takes."""

    def __init__(self):
        self.taken = []

    def receive_message(self, message):
        """A message of another VM came."""
        self.taken.append(message)


class LocalVm:
    """A VM that has nothing to tell."""

    version = 0

    def receive_record(self, record):
        """A peer's record came."""

    def record(self, number, known, whole, aggregator):
        """This VM's next record."""
        return _record()


def _record(number=1, host=HOST):
    return vm_records.VmRecord(f"vm-{number}", 1, 1, f"{host}:9", "", "dc")


def _send(context, data):
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.closers.append(sender.close)
    sender.sendto(data, (HOST, context.port))


_packed = datagrams.pack


def _look(context, count):
    """Look until so many came: a datagram may still be on its way."""
    until = time.monotonic() + ARRIVED_S
    taken = context.message_receiver.taken
    while len(taken) < count and time.monotonic() < until:
        context.datagrams.receive_pending()
        time.sleep(POLL_S)
    return taken


def _arrived(context):
    """Wait until a datagram lies at the socket, unread."""
    opened = context.link._datagrams._socket
    until = time.monotonic() + ARRIVED_S
    while time.monotonic() < until:
        try:
            return opened.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            time.sleep(POLL_S)
    raise AssertionError("no datagram came")


@given("a VM that hears records")
def _vm(context):
    context.message_receiver = Receiver()
    context.datagrams = datagrams.PeerSocket(context.message_receiver)
    context.datagrams.listen(HOST, 0)
    context.port = context.datagrams.port
    context.closers.append(context.datagrams.close)


@when("{count:d} records come from their own address")
def _come(context, count):
    for number in range(count):
        _send(context, _packed(_record(number)))


@then("{count:d} records are taken in at the next look")
def _taken(context, count):
    taken = _look(context, count)
    assert {d.vm for d in taken} == {f"vm-{i}" for i in range(count)}, taken


@then("none at the one after")
def _none(context):
    before = len(context.message_receiver.taken)
    context.datagrams.receive_pending()
    assert len(context.message_receiver.taken) == before


@when("a record comes that is {bad}")
def _bad(context, bad):
    whole = _packed(_record())
    data = {
        "of another VM's address": _packed(_record(host="127.0.0.2")),
        "cut short": whole[:-3],
        "not compressed": msgpack.packb(_record().to_record()),
        "not a record": zlib.compress(msgpack.packb(["vm"])),
        "too long": zlib.compress(bytes(4 * datagrams.MAX_UNPACKED_BYTES)),
    }[bad]
    context.logged = []
    logs.setup_writer("vm-0", lambda name, text: context.logged.append(text))
    context.closers.append(logs.teardown)
    _send(context, data)


@then('no record is taken in and "{reason}" is logged')
def _refused(context, reason):
    until = time.monotonic() + ARRIVED_S
    while not context.logged and time.monotonic() < until:
        context.datagrams.receive_pending()
        time.sleep(POLL_S)
    assert any(f"reason={reason}" in x for x in context.logged), context.logged
    assert not context.message_receiver.taken


@when("it takes in a flood of records that never ends")
def _flood(context):
    class Endless:
        """A socket at which there is always one more."""

        def recvfrom(self, most):
            """One more."""
            return _packed(_record()), (HOST, 9)

        def close(self):
            """Nothing to close."""

    context.datagrams.close()
    context.datagrams._socket = Endless()
    context.datagrams.receive_pending()


@then("one look ends after {count:d} of them")
def _ends(context, count):
    assert len(context.message_receiver.taken) == count, len(
        context.message_receiver.taken
    )


def _node_settings():
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
        settings.Bounds(),
    )


@given("a fleet's VM that hears records")
def _fleet_vm(context):
    clock = clocks.ManualClock()
    context.link = fleet_link.FleetLink(
        clock,
        random.Random(1),
        _node_settings(),
        LocalVm(),
        directories.Directory(clock),
        tasks.Tasks(),
    )
    context.link._datagrams.listen(HOST, 0)
    context.port = context.link._datagrams.port
    context.closers.append(context.link.close)


@given("a fleet's VM that hears {count:d} others")
def _hears(context, count):
    _fleet_vm(context)
    context.sent = []
    for number in range(1, count + 1):
        context.link._table.heard(_record(number, f"10.0.0.{number}"))
    # The first look finds out who aggregates.
    context.link._record_exchange.look()

    def send(message, receivers):
        context.sent.append(receivers)

    context.link._datagrams = mock.Mock(
        wraps=context.link._datagrams, send=send
    )


@when("runners are given {count:d} prompts at once")
def _prompts(context, count):
    async def give():
        for _ in range(count):
            context.link.publish_soon()
        # Timers fire in their order, so however slow the machine is, the
        # record's comes before the end of this pause.
        await asyncio.sleep(0.1)

    asyncio.run(give())


@then("{count:d} record is sent within 0.1 seconds to {receivers:d} others")
def _sent(context, count, receivers):
    assert [len(each) for each in context.sent] == [
        receivers
    ] * count, context.sent


@when("{count:d} records wait until it sees that it was frozen")
def _still(context, count):
    for number in range(1, count + 1):
        _send(context, _packed(_record(number)))
    # Loopback hands datagrams over as they are sent, so all are there.
    _arrived(context)
    context.link.handle_stall()


@then("it hears nobody after it woke")
def _nobody(context):
    asyncio.run(context.link._receive_pending())
    assert not context.link.alive, [d.vm for d in context.link.alive]


@when("it sends a record to a receiver that can't be and then to one that is")
def _sends(context):
    context.receiver = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    context.receiver.bind((HOST, 0))
    context.receiver.settimeout(ARRIVED_S)
    context.closers.append(context.receiver.close)
    port = context.receiver.getsockname()[1]
    context.datagrams.send(_record(), ["255.255.255.255:9", f"{HOST}:{port}"])


@then("the one that is has it")
def _has(context):
    data = context.receiver.recv(datagrams.MAX_DATAGRAM_BYTES)
    assert data == _packed(_record())


def _name(rng):
    return "".join(rng.choices("abcdefgh", k=4)) + str(rng.randrange(9999))


@given("a record of a VM with {customers:d} customers and {count:d} runners")
def _busy(context, customers, count):
    rng = random.Random(count)
    names = [_name(rng) for _ in range(customers)]
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


@then("it is sent in less than {part:g} of its length")
def _short(context, part):
    whole = len(msgpack.packb(context.record.to_record()))
    sent = len(datagrams.pack(context.record))
    assert sent < part * whole, (sent, whole)


@then("it comes as it was")
def _as_it_was(context):
    came = datagrams.unpack(datagrams.pack(context.record))
    wanted = msgpack.unpackb(
        msgpack.packb(context.record.to_record()), strict_map_key=False
    )
    assert came.to_record() == wanted
