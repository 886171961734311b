"""Client of the relay benchmark: reads many streams at a low cost."""

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


class ReadPlan:
    """Streams that one process opens and reads.

    Times are of the monotonic clock.

    :param addresses: ``host:port`` of the servers, used in round robin.
    :param streams: number of streams.
    :param tokens: length of each stream.
    :param open_s: period over which the streams are opened.
    :param start: start of that period.
    :param begin: start of the measured period.
    :param end: end of the measured period.
    :param close_at: time at which streams that are still open are closed.
    :param seed: seeds the times at which the streams are opened.
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


class Measurements:
    """Results of one process.

    :param delays_us: time from writing at the upstream to reading here, for
        each event in the measured period.
    :param gaps_us: time between two reads with events of the same stream,
        for reads in the measured period.
    :param first_token_us: time from connecting to the first event.
    :param events: number of events in the measured period.
    :param done: number of streams that were read to their end.
    :param faults: messages about streams that were refused or broke.
    """

    __slots__ = (
        "delays_us",
        "gaps_us",
        "first_token_us",
        "events",
        "done",
        "faults",
    )

    def __init__(self) -> None:
        self.delays_us: list[int] = []
        self.gaps_us: list[int] = []
        self.first_token_us: list[int] = []
        self.events = 0
        self.done = 0
        self.faults: list[str] = []


class _Reader(asyncio.Protocol):
    """Reads one stream."""

    def __init__(
        self, plan: ReadPlan, measured: Measurements, request: bytes
    ) -> None:
        self._plan = plan
        self._measured = measured
        self._request = request
        self._buffer = b""
        self._connect_us = 0
        self._last_us = 0
        self._awaiting_first = True
        self._done = False
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: typing.Any) -> None:
        transport.write(self._request)

    def set_connect_time(self, connect_us: int) -> None:
        """Set when the client started to connect."""
        self._connect_us = connect_us

    def data_received(self, data: bytes) -> None:
        now_us = time.monotonic_ns() // 1000
        plan = self._plan
        text = self._buffer + data
        if self._awaiting_first and not text.startswith(b"HTTP/1.1 200"):
            self._measured.faults.append(text[:300].decode(errors="replace"))
            self._awaiting_first = False
        stamps = STAMP.findall(text)
        last = text.rfind(b"\n\n")
        self._buffer = text[last + 2 :] if last >= 0 else text
        if DONE in text:
            self._done = True
        if not stamps:
            return
        if self._awaiting_first:
            self._awaiting_first = False
            self._measured.first_token_us.append(now_us - self._connect_us)
        if plan.begin * US_PER_S <= now_us < plan.end * US_PER_S:
            self._measured.events += len(stamps)
            delays = [now_us - int(stamp) for stamp in stamps]
            self._measured.delays_us.extend(delays)
            if self._last_us:
                self._measured.gaps_us.append(now_us - self._last_us)
        self._last_us = now_us

    def connection_lost(self, error: Exception | None) -> None:
        if self._done:
            self._measured.done += 1
        else:
            self._measured.faults.append(
                f"closed before the end of the stream: {error}"
            )
        if not self.closed.done():
            self.closed.set_result(None)


def read(plan: ReadPlan) -> Measurements:
    """Open and read the streams; close those still open at ``close_at``."""
    return asyncio.run(_read(plan))


async def _read(plan: ReadPlan) -> Measurements:
    measured = Measurements()
    rng = random.Random(plan.seed)
    offsets = sorted(rng.random() * plan.open_s for _ in range(plan.streams))
    tasks = [
        asyncio.create_task(_open(plan, measured, number, offset))
        for number, offset in enumerate(offsets)
    ]
    timeout_s = plan.close_at - time.monotonic()
    await asyncio.wait(tasks, timeout=timeout_s)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return measured


async def _open(
    plan: ReadPlan, measured: Measurements, number: int, offset: float
) -> None:
    await asyncio.sleep(plan.start + offset - time.monotonic())
    address = plan.addresses[number % len(plan.addresses)]
    host, _, port = address.rpartition(":")
    request = _request(plan, number)
    connect_us = time.monotonic_ns() // 1000
    loop = asyncio.get_running_loop()
    transport, reader = await loop.create_connection(
        lambda: _Reader(plan, measured, request), host, int(port)
    )
    reader.set_connect_time(connect_us)
    try:
        await reader.closed
    finally:
        transport.abort()


def _request(plan: ReadPlan, number: int) -> bytes:
    body = json.dumps(
        {
            "model": "relayed",
            "prompt": f"stream {plan.seed} {number} " + "clause " * 100,
            "max_tokens": plan.tokens,
            "stream": True,
        }
    )
    return (
        "POST /v1/completions HTTP/1.1\r\nHost: relay\r\n"
        f"Authorization: Bearer {plan.bearer_key}\r\n"
        "Content-Type: application/json\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()
