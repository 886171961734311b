"""Processor time of a caller's connection for each call.

Feeds calls of one kind to the server's end of connections, without sockets,
and answers each at once: a small call, one of 20 header lines, and one with a
body in pieces.
"""

import argparse
import asyncio
import json
import time
import typing

from apricotlever.serving import caller_channel
from apricotlever.serving import caller_server
from apricotlever.serving import reply_writer

CONNECTIONS = 50
CALLS = 400
HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
LINES = b"".join(b"Name-%d: some value of it\r\n" % n for n in range(20))
BODY_BYTES = 65536
PIECE_BYTES = 4096


class _Transport:
    """Takes all bytes at once."""

    def write(self, data: bytes) -> None:
        """Drop bytes."""

    def close(self) -> None:
        """Do nothing."""

    abort = pause_reading = resume_reading = close

    def is_closing(self) -> bool:
        """Return False, as it never closes."""
        return False

    def get_extra_info(self, name: str) -> None:
        """Return None, as there is no socket."""

    def set_write_buffer_limits(self, high: int) -> None:
        """Do nothing, as the write buffer never fills."""

    def get_write_buffer_size(self) -> int:
        """Return 0, as all bytes are sent."""
        return 0


def _cases() -> dict[str, list[bytes]]:
    body = [bytes(PIECE_BYTES)] * (BODY_BYTES // PIECE_BYTES)
    sized = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
    empty = b"Content-Length: 0\r\n\r\n"
    return {
        "small": [HEAD + empty],
        "20 lines": [HEAD + LINES + empty],
        "body of 64 KiB": [HEAD + sized, *body],
    }


async def _measure(pieces: list[bytes]) -> float:
    """Processor time of a call, in microseconds."""

    async def handler(
        raw: caller_channel.RawRequest, reply: reply_writer.ReplyWriter
    ) -> None:
        reply.send_whole(200, ())

    server = caller_server.CallerServer(handler)
    channels = [
        caller_channel.CallerChannel(server) for _ in range(CONNECTIONS)
    ]
    for channel in channels:
        channel.connection_made(typing.cast(asyncio.Transport, _Transport()))
    began = time.process_time()
    for _ in range(CALLS):
        for channel in channels:
            for piece in pieces:
                channel.data_received(piece)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    spent_s = time.process_time() - began
    return 1e6 * spent_s / (CALLS * CONNECTIONS)


def run(arguments: list[str]) -> int:
    """Measure each kind of call."""
    parser = argparse.ArgumentParser(
        prog="bench caller_calls", description=__doc__
    )
    parser.parse_args(arguments)
    for name, pieces in _cases().items():
        cost_us = asyncio.run(_measure(pieces))
        print(json.dumps({"case": name, "us_per_call": round(cost_us, 2)}))
    return 0
