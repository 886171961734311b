"""A loopback proxy that spoils connections."""

import asyncio
import contextlib
import enum
import socket
import struct

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
DELAY_S = 0.25
RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does to its connections, open and new ones."""

    PASS = "pass"
    DELAY = "delay"
    #: Open connections are reset, and new ones at once.
    RESET = "reset"
    #: Nothing passes either way, and nobody is told.
    SILENT = "silent"
    #: Requests pass, answers don't.
    ONE_WAY = "one_way"


class Proxy:
    """Passes connections on to one port.

    :param target: the port behind it.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self._mode = Mode.PASS
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def set_mode(self, mode: Mode) -> None:
        """Change what is done to connections."""
        self._mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                _reset(writer)

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if self._mode is Mode.RESET:
                _reset(writer)
                return
            far_reader, far_writer = await asyncio.open_connection(
                HOST, self.target
            )
        except OSError:
            _reset(writer)
            return
        finally:
            self._writers.discard(writer)
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, False),
                self._pump(far_reader, writer, True),
            )
        except asyncio.CancelledError:
            # The loop ends; asyncio would report each connection.
            pass
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answers: bool,
    ) -> None:
        """Copy one way.

        A connection that has lost bytes stays silent for good: no network
        leaves a gap in the middle of a stream.
        """
        lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                lost = lost or self._mode is Mode.SILENT
                lost = lost or (self._mode is Mode.ONE_WAY and answers)
                if lost:
                    continue
                writer.write(data)
                await writer.drain()
            if not lost and self._mode is not Mode.SILENT:
                writer.transport.abort()


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
