"""A cheap reader of many streams for the relay benchmark."""

import asyncio
import json
import random
import re
import time
import typing

STAMP = re.compile(rb'"text":" (\d+)"')
DONE = b"data: [DONE]"
US_PER_S = 1e6
NOT_OK = "HTTP status is not 200"


class Order:
    """What one process reads.

    :param addresses: ``host:port`` of each server, taken by turns.
    :param streams: how many to open.
    :param open_s: over which time they are opened.
    :param begin: from when delays are kept, on the monotonic clock.
    :param end: until when.
    :param close_at: when what is still open is closed.
    """

    __slots__ = (
        "addresses",
        "streams",
        "tokens",
        "open_s",
        "start",
        "begin",
        "end",
        "close_at",
        "bearer_key",
        "seed",
    )

    def __init__(
        self,
        addresses: list[str],
        streams: int,
        tokens: int,
        open_s: float,
        start: float,
        begin: float,
        end: float,
        close_at: float,
        bearer_key: str,
        seed: int,
    ) -> None:
        self.addresses = addresses
        self.streams = streams
        self.tokens = tokens
        self.open_s = open_s
        self.start = start
        self.begin = begin
        self.end = end
        self.close_at = close_at
        self.bearer_key = bearer_key
        self.seed = seed


class Seen:
    """What one process read.

    :param delays_us: from the source's writing to here, of the events
        between ``begin`` and ``end``.
    :param gaps_us: between two events of a stream, likewise.
    :param first_us: from connecting to the first event.
    :param faults: streams that were refused or broke.
    """

    __slots__ = (
        "delays_us",
        "gaps_us",
        "first_us",
        "events",
        "done",
        "faults",
    )

    def __init__(self) -> None:
        self.delays_us: list[int] = []
        self.gaps_us: list[int] = []
        self.first_us: list[int] = []
        self.events = 0
        self.done = 0
        self.faults: list[str] = []


class _Reader(asyncio.Protocol):
    """One stream."""

    def __init__(self, order: Order, seen: Seen, request: bytes) -> None:
        self._order = order
        self._seen = seen
        self._request = request
        self._rest = b""
        self._began_us = 0
        self._last_us = 0
        self._first = True
        self._done = False
        self.over = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: typing.Any) -> None:
        transport.write(self._request)

    def began(self, now_us: int) -> None:
        """Note when the connection was asked for."""
        self._began_us = now_us

    def data_received(self, data: bytes) -> None:
        now_us = time.monotonic_ns() // 1000
        order = self._order
        text = self._rest + data
        if self._first and not text.startswith(b"HTTP/1.1 200"):
            self._seen.faults.append(text[:300].decode(errors="replace"))
            self._first = False
        stamps = STAMP.findall(text)
        last = text.rfind(b"\n\n")
        self._rest = text[last + 2 :] if last >= 0 else text
        if DONE in text:
            self._done = True
        if not stamps:
            return
        if self._first:
            self._first = False
            self._seen.first_us.append(now_us - self._began_us)
        if order.begin * US_PER_S <= now_us < order.end * US_PER_S:
            self._seen.events += len(stamps)
            delays = [now_us - int(stamp) for stamp in stamps]
            self._seen.delays_us.extend(delays)
            if self._last_us:
                self._seen.gaps_us.append(now_us - self._last_us)
        self._last_us = now_us

    def connection_lost(self, error: Exception | None) -> None:
        if self._done:
            self._seen.done += 1
        else:
            self._seen.faults.append(f"cut off: {error}")
        if not self.over.done():
            self.over.set_result(None)


def read(order: Order) -> Seen:
    """Open the streams, read them and close what is open at the end."""
    return asyncio.run(_read(order))


async def _read(order: Order) -> Seen:
    seen = Seen()
    rng = random.Random(order.seed)
    offsets = sorted(rng.random() * order.open_s for _ in range(order.streams))
    opened = [
        asyncio.create_task(_open(order, seen, number, offset))
        for number, offset in enumerate(offsets)
    ]
    left_s = order.close_at - time.monotonic()
    await asyncio.wait(opened, timeout=left_s)
    for task in opened:
        task.cancel()
    await asyncio.gather(*opened, return_exceptions=True)
    return seen


async def _open(order: Order, seen: Seen, number: int, offset: float) -> None:
    await asyncio.sleep(order.start + offset - time.monotonic())
    address = order.addresses[number % len(order.addresses)]
    host, _, port = address.rpartition(":")
    request = _request(order, number)
    began_us = time.monotonic_ns() // 1000
    loop = asyncio.get_running_loop()
    transport, reader = await loop.create_connection(
        lambda: _Reader(order, seen, request), host, int(port)
    )
    reader.began(began_us)
    try:
        await reader.over
    finally:
        transport.abort()


def _request(order: Order, number: int) -> bytes:
    body = json.dumps(
        {
            "model": "relayed",
            "prompt": f"stream {order.seed} {number} " + "clause " * 100,
            "max_tokens": order.tokens,
            "stream": True,
        }
    )
    return (
        "POST /v1/completions HTTP/1.1\r\nHost: relay\r\n"
        f"Authorization: Bearer {order.bearer_key}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()
