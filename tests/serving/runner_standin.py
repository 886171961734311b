"""A runner stand-in that handles calls as a test specifies."""

import asyncio
import collections
import socket
import struct

from tests.serving import packet_filter

#: How long a runner takes until it fails to resume a stream, in seconds.
RESUMPTION_S = 0.05

#: The time between two events of a slow stream, in seconds.
SLOW_EVENT_S = 0.05

#: A silence of a sound runner, in seconds.
SHORT_SILENCE_S = 1.1

#: Coroutine functions that handle a call, by name. Their parameters are the
#: runner, the connection's writer and the call's headers.
BEHAVIOURS = {}


def behaviour(name):
    """Register a behaviour under a name."""

    def decorate(function):
        BEHAVIOURS[name] = function
        return function

    return decorate


def reset(writer):
    """Reset the connection; a close could mean the end of a response."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    writer.transport.abort()


def response_head(status, call, *extra_headers):
    """Encode the head of a response."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"Call-Id: {call['call-id']}",
        "Signed: yes",
        "Keep-Alive: timeout=30",
        *call["statements"],
        *extra_headers,
        "",
        "",
    ]
    return "\r\n".join(lines).encode()


def _response(status, call, body, *extra_headers):
    return (
        response_head(
            status, call, f"Content-Length: {len(body)}", *extra_headers
        )
        + body
    )


def _encode_event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def _encode_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


@behaviour("answers")
async def _answers(runner, writer, call):
    writer.write(_response(200, call, f"from {runner.name}".encode()))


@behaviour("answers with the id of the call")
async def _answers_id(runner, writer, call):
    writer.write(_response(200, call, call["call-id"].encode()))


@behaviour("answers the call before once more, with a spoiled id")
async def _answers_call_before(runner, writer, call):
    """The late answer comes where that to this call is due."""
    before = runner.answered_on.get(writer)
    if before is not None:
        late = _response(200, before, before["call-id"].encode())
        writer.write(late.replace(b"Call-Id", b"Cxll-Id"))
    runner.answered_on[writer] = call
    await _answers_id(runner, writer, call)


@behaviour("answers late")
async def _answers_late(runner, writer, call):
    await asyncio.sleep(0.1)
    await _answers(runner, writer, call)


@behaviour("fails")
async def _fails(runner, writer, call):
    writer.write(_response(500, call, b"broken"))


@behaviour("returns the length of the body")
async def _returns_length(runner, writer, call):
    writer.write(_response(200, call, b"%d" % len(call["body"])))


@behaviour("rejects calls")
async def _rejects(runner, writer, call):
    runner.executed_call_ids.pop()
    runner.turned_away[call.get("sent-by")].append(
        asyncio.get_running_loop().time()
    )
    writer.write(_response(503, call, b"", "Not-Run: yes"))


@behaviour("rejects calls and resets")
async def _rejects_and_resets(runner, writer, call):
    runner.executed_call_ids.pop()
    writer.write(
        response_head(503, call, "Not-Run: yes", "Content-Length: 50")
    )
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


@behaviour("is another runner")
async def _is_another_runner(runner, writer, call):
    runner.executed_call_ids.pop()
    writer.write(_response(421, call, b"", "Other-Runner: yes"))


@behaviour("resets")
async def _resets(runner, writer, call):
    reset(writer)


@behaviour("ends")
async def _ends(runner, writer, call):
    writer.close()


@behaviour("crashes")
async def _crashes(runner, writer, call):
    runner.stop()
    reset(writer)


@behaviour("hangs")
async def _hangs(runner, writer, call):
    await asyncio.sleep(60)


@behaviour("goes silent for good")
async def _goes_silent(runner, writer, call):
    packet_filter.drop_received(writer.get_extra_info("socket"))
    await asyncio.sleep(60)


@behaviour("streams half and goes silent for good, unless it resumes")
async def _streams_half_and_goes_silent(runner, writer, call):
    if "after" in call:
        await _streams(runner, writer, call)
        return
    await _send_events(writer, call, range(1, 4), False)
    # The events are acknowledged before.
    await asyncio.sleep(0.05)
    await _goes_silent(runner, writer, call)


async def _be_silent(writer):
    """Neither send nor acknowledge anything for a short time."""
    sock = writer.get_extra_info("socket")
    packet_filter.drop_received(sock)
    try:
        await asyncio.sleep(SHORT_SILENCE_S)
    finally:
        packet_filter.receive_again(sock)


@behaviour("is silent before it answers")
async def _silent_before_answer(runner, writer, call):
    await _be_silent(writer)
    await _answers(runner, writer, call)


@behaviour("is silent before it streams")
async def _silent_before_stream(runner, writer, call):
    await _be_silent(writer)
    await _streams(runner, writer, call)


@behaviour("is silent within its answer")
async def _silent_within_answer(runner, writer, call):
    answer = _response(200, call, f"from {runner.name}".encode())
    writer.write(answer[:-5])
    await _be_silent(writer)
    writer.write(answer[-5:])


@behaviour("is silent between events")
async def _silent_between_events(runner, writer, call):
    first = int(call.get("after", 0)) + 1
    await _send_events(writer, call, range(first, 4), False)
    await _be_silent(writer)
    for number in range(4, 7):
        writer.write(_encode_chunk(_encode_event(number)))
    writer.write(b"0\r\n\r\n")


@behaviour("babbles")
async def _sends_invalid_response(runner, writer, call):
    writer.write(b"this is no answer at all\r\n\r\n")


@behaviour("sends an unsigned response")
async def _sends_unsigned_response(runner, writer, call):
    writer.write(b"HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nhm")


@behaviour("answers an earlier call first")
async def _answers_earlier_call_first(runner, writer, call):
    late = {**call, "call-id": "somebody-else"}
    writer.write(_response(200, late, b"not for you"))
    writer.write(_response(200, call, b"for you"))


@behaviour("answers twice")
async def _answers_twice(runner, writer, call):
    answer = _response(200, call, f"from {runner.name}".encode())
    writer.write(answer + answer)


@behaviour("resets within a response without length")
async def _resets_without_length(runner, writer, call):
    writer.write(response_head(200, call) + b"the first hal")
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


@behaviour("ends a response without length")
async def _ends_without_length(runner, writer, call):
    writer.write(response_head(200, call) + b"all of it")
    await writer.drain()
    writer.close()


async def _send_events(writer, call, numbers, finish, gap_s=0.0):
    writer.write(response_head(200, call, "Transfer-Encoding: chunked"))
    for number in numbers:
        writer.write(_encode_chunk(_encode_event(number)))
        await writer.drain()
        if gap_s:
            await asyncio.sleep(gap_s)
    if finish:
        writer.write(b"0\r\n\r\n")


@behaviour("streams")
async def _streams(runner, writer, call):
    first = int(call.get("after", 0)) + 1
    await _send_events(writer, call, range(first, 7), True)


@behaviour("streams event by event")
async def _streams_event_by_event(runner, writer, call):
    await _send_events(writer, call, range(1, 4), True, 0.01)


@behaviour("streams one event and hangs")
async def _streams_one_and_hangs(runner, writer, call):
    await _send_events(writer, call, (1,), False)
    await asyncio.sleep(60)


@behaviour("streams half and resets")
async def _streams_half_and_resets(runner, writer, call):
    first = int(call.get("after", 0)) + 1
    await _send_events(writer, call, range(first, 4), False)
    writer.write(_encode_chunk(b"id: 4\nda"))
    await writer.drain()
    await asyncio.sleep(0.02)
    reset(writer)


#: What a faulty runner may make of the events 3 to 6 of a piece.
BAD_PIECES = {
    "a missing event": lambda events: [events[0], events[1], events[3]],
    "a doubled event": lambda events: [*events[:2], events[1], *events[2:]],
    "swapped events": lambda events: [events[0], events[2], events[1]],
    "a spoiled event": lambda events: [*events[:2], b"\xa5\n\n", events[3]],
    "a huge id": lambda events: [events[0], b"id: %b\n\n" % (b"9" * 5000)],
    "no good event": lambda events: [b"\xa5\n\n", *events[1:]],
}


def _streams_bad_piece(spoil):
    async def behave(runner, writer, call):
        if "after" in call:
            await _streams(runner, writer, call)
            return
        writer.write(response_head(200, call, "Transfer-Encoding: chunked"))
        writer.write(_encode_chunk(_encode_event(1) + _encode_event(2)))
        await writer.drain()
        await asyncio.sleep(0.01)
        events = spoil([_encode_event(number) for number in range(3, 7)])
        writer.write(_encode_chunk(b"".join(events)) + b"0\r\n\r\n")

    return behave


for _name, _spoil in BAD_PIECES.items():
    behaviour(f"streams a piece with {_name}")(_streams_bad_piece(_spoil))


def _encode_event_of_version(runner, number):
    return b"id: %d\ndata: %b\n\n" % (number, runner.version.encode())


async def _send_events_of_version(runner, writer, numbers, pause_s=0.0):
    """Send events that hold the version of the runner's software."""
    for number in numbers:
        writer.write(_encode_chunk(_encode_event_of_version(runner, number)))
        await writer.drain()
        await asyncio.sleep(pause_s)


@behaviour("streams its version, half and resets, unless it resumes")
async def _streams_half_of_version(runner, writer, call):
    first = int(call.get("after", 0)) + 1
    writer.write(response_head(200, call, "Transfer-Encoding: chunked"))
    if first > 1:
        await _send_events_of_version(runner, writer, range(first, 7))
        writer.write(b"0\r\n\r\n")
        return
    await _send_events_of_version(runner, writer, range(1, 4))
    await asyncio.sleep(0.02)
    reset(writer)


@behaviour("streams its version slowly, unless it resumes")
async def _streams_version_slowly(runner, writer, call):
    first = int(call.get("after", 0)) + 1
    pause_s = 0.0 if first > 1 else SLOW_EVENT_S
    writer.write(response_head(200, call, "Transfer-Encoding: chunked"))
    await _send_events_of_version(runner, writer, range(first, 7), pause_s)
    writer.write(b"0\r\n\r\n")


async def _stream_half_unless_resumed(writer, call):
    """Begin a stream and reset it; only wait if it is to be resumed.

    :returns: whether the call resumes a stream.
    """
    if "after" in call:
        await asyncio.sleep(RESUMPTION_S)
        return True
    await _send_events(writer, call, range(1, 4), False)
    await asyncio.sleep(0.02)
    reset(writer)
    return False


def _fails_to_resume(status):
    async def behave(runner, writer, call):
        if await _stream_half_unless_resumed(writer, call):
            writer.write(_response(status, call, b"no"))

    return behave


for _status in (400, 404, 409, 500, 504):
    behaviour(f"streams half and resumes with {_status}")(
        _fails_to_resume(_status)
    )


@behaviour("streams half and resumes with nothing and no length")
async def _resumes_with_nothing(runner, writer, call):
    if await _stream_half_unless_resumed(writer, call):
        writer.write(response_head(200, call))
        await writer.drain()
        writer.close()


@behaviour("streams all without the end and resumes with an empty stream")
async def _streams_all_without_end(runner, writer, call):
    first = int(call.get("after", 0)) + 1
    await _send_events(writer, call, range(first, 7), "after" in call)
    if "after" not in call:
        await asyncio.sleep(0.02)
        reset(writer)


async def _stream_without_length(writer, call, numbers):
    writer.write(response_head(200, call))
    for number in numbers:
        writer.write(_encode_event(number))
    await writer.drain()
    # All events are read before the connection ends.
    await asyncio.sleep(0.02)


@behaviour("streams without length")
async def _streams_without_length(runner, writer, call):
    await _stream_without_length(writer, call, range(1, 7))
    writer.close()


@behaviour("streams half without length and ends")
async def _streams_half_without_length_and_ends(runner, writer, call):
    await _stream_without_length(writer, call, range(1, 4))
    runner.stop()
    writer.close()


@behaviour("begins a response without length and ends")
async def _begins_without_length_and_ends(runner, writer, call):
    writer.write(response_head(200, call) + b"the first hal")
    await writer.drain()
    await asyncio.sleep(0.02)
    runner.stop()
    writer.close()


@behaviour("omits an event")
async def _omits_event(runner, writer, call):
    await _send_events(writer, call, (1, 2, 4, 5, 6), True)


@behaviour("omits a later event")
async def _omits_later_event(runner, writer, call):
    writer.write(response_head(200, call, "Transfer-Encoding: chunked"))
    for number in (1, 2, 3, 4, 5, 7, 8):
        writer.write(_encode_chunk(_encode_event(number)))
        await writer.drain()
        # The delay puts each event into a packet of its own, so that the
        # events are read one by one.
        await asyncio.sleep(0.01)
    writer.write(b"0\r\n\r\n")


@behaviour("streams 3000 large events")
async def _streams_large_events(runner, writer, call):
    writer.write(response_head(200, call, "Transfer-Encoding: chunked"))
    padding = b"x" * 6000
    for number in range(1, 3001):
        event = b"id: %d\ndata: %b\n\n" % (number, padding)
        writer.write(_encode_chunk(event))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


#: What may come without end instead of a response: what comes first, and what
#: comes over and over.
ENDLESS = {
    "lines of a head": (b"HTTP/1.1 200 X\r\n", b"X: aaaaaaaaaaaaaaaaaa\r\n"),
    "a line of a head": (b"HTTP/1.1 200 X\r\nX: ", b"a" * 100),
    "a status line": (b"HTTP/1.1 200 ", b"a" * 100),
    "interim heads": (b"", b"HTTP/1.1 102 X\r\nX: y\r\n\r\n"),
    "late responses": (
        b"",
        b"HTTP/1.1 200 X\r\nCall-Id: of-another\r\n"
        b"Content-Length: 1\r\n\r\na",
    ),
    "a late body": (
        b"HTTP/1.1 200 X\r\nCall-Id: of-another\r\n\r\n",
        b"a" * 100,
    ),
}
#: The same after the head of a response that answers the call.
ENDLESS_BODIES = {
    "trailers": (b"2\r\nok\r\n0\r\n", b"X: y\r\n"),
    "a trailer": (b"2\r\nok\r\n0\r\nX: ", b"a" * 100),
    "a chunk extension": (b"2\r\nok\r\n2;", b"a" * 100),
    "a body": (b"", b"2710\r\n" + b"a" * 10000 + b"\r\n"),
}
#: The same within a stream.
ENDLESS_STREAMS = {
    "an event": (b"", _encode_chunk(b"a" * 1000)),
    "a chunk extension": (b"2;", b"a" * 100),
    "trailers": (b"0\r\n", b"X: y\r\n"),
}
#: Bytes that a runner writes at a time.
ENDLESS_PIECE_BYTES = 20000


async def _send_endless(writer, first, repeated):
    writer.write(first)
    piece = repeated * (1 + ENDLESS_PIECE_BYTES // len(repeated))
    try:
        while True:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
    except ConnectionError:
        return


def _sends_endless(what):
    async def behave(runner, writer, call):
        if what in ENDLESS_BODIES:
            writer.write(
                response_head(200, call, "Transfer-Encoding: chunked")
            )
        await _send_endless(writer, *(ENDLESS | ENDLESS_BODIES)[what])

    return behave


def _streams_then_endless(what):
    async def behave(runner, writer, call):
        first = int(call.get("after", 0)) + 1
        await _send_events(writer, call, range(first, 4), False)
        await _send_endless(writer, *ENDLESS_STREAMS[what])

    return behave


for _what in ENDLESS | ENDLESS_BODIES:
    behaviour(f"sends {_what} without end")(_sends_endless(_what))
for _what in ENDLESS_STREAMS:
    behaviour(f"streams half and sends {_what} without end")(
        _streams_then_endless(_what)
    )


class RunnerStandIn:
    """A runner with a port of its own.

    :param behaviour_names: names of the behaviours for its calls in order;
        the last one applies to all further calls.
    """

    def __init__(self, name, behaviour_names):
        self.name = name
        #: The version of its software, for events that hold it.
        self.version = ""
        self.behaviour_names = list(behaviour_names)
        self.executed_call_ids = []
        self.received_calls = []
        #: Headers by which the runner says something of itself.
        self.statements = []
        #: When each call arrived, on the event loop's clock.
        self.arrived_at = []
        #: When calls arrived from each VM, and when VMs were turned away.
        self.arrived_from = collections.defaultdict(list)
        self.turned_away = collections.defaultdict(list)
        #: The last call that was answered on each connection.
        self.answered_on = {}
        self.disconnects = 0
        self.connections = 0
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        """Start to accept connections, again at the same port."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def listen_again(self):
        """Accept connections again at the same port, after a stop."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port
        )

    def stop(self):
        """Stop accepting connections."""
        self._server.close()

    def cut(self):
        """Refuse connections and reset the open ones."""
        self.stop()
        for writer in self._writers:
            reset(writer)

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while True:
                call = await self._read_call(reader)
                now = asyncio.get_running_loop().time()
                self.arrived_at.append(now)
                self.arrived_from[call.get("sent-by")].append(now)
                self.executed_call_ids.append(call["call-id"])
                call["statements"] = list(self.statements)
                self.received_calls.append(call)
                name = self.behaviour_names[0]
                if len(self.behaviour_names) > 1:
                    self.behaviour_names.pop(0)
                handler_task = asyncio.ensure_future(
                    BEHAVIOURS[name](self, writer, call)
                )
                disconnect_task = asyncio.ensure_future(reader.read(1))
                done, _ = await asyncio.wait(
                    {handler_task, disconnect_task},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if disconnect_task in done and handler_task not in done:
                    self.disconnects += 1
                    handler_task.cancel()
                    return
                disconnect_task.cancel()
                await asyncio.gather(disconnect_task, return_exceptions=True)
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
            OSError,
        ):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read_call(self, reader):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        call = {"line": lines[0]}
        for line in lines[1:]:
            name, _, value = line.partition(": ")
            call[name.lower()] = value
        call["body"] = await reader.readexactly(
            int(call.get("content-length", 0))
        )
        return call
