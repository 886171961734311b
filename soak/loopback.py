"""Short exchanges of a soak test with its processes on loopback."""

import asyncio
import socket

from tests.support import ports

HOST = ports.HOST
#: How long an attempt to connect may take, in seconds.
PROBE_TIMEOUT_S = 0.2


def is_listening(port: int) -> bool:
    """Whether a process takes connections at a port."""
    with socket.socket() as probe:
        probe.settimeout(PROBE_TIMEOUT_S)
        return probe.connect_ex((HOST, port)) == 0


async def try_exchange(port: int, request: bytes) -> bool:
    """Send a request and read the head of its response, if that works."""
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            writer.write(request)
            await reader.readuntil(b"\r\n\r\n")
        finally:
            writer.transport.abort()
    except (OSError, EOFError):
        return False
    return True
