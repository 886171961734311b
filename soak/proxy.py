"""Loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import enum
import socket
import struct

HOST = "127.0.0.1"
CHUNK_BYTES = 65536
DELAY_S = 0.25
#: Socket option value that makes a close send a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does to its open and new connections."""

    PASS = "pass"
    DELAY = "delay"
    #: Open connections are reset, new ones as soon as they are accepted.
    RESET = "reset"
    #: Data is dropped in both directions; connections stay open.
    SILENT = "silent"
    #: Requests are forwarded, answers are dropped.
    ONE_WAY = "one_way"


class FaultProxy:
    """Forwards connections to one port.

    :param target: the port that connections are forwarded to.
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
        """Change the mode for open and new connections."""
        self._mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                _reset_connection(writer)

    def close(self) -> None:
        """Stop listening and abort all connections."""
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
                _reset_connection(writer)
                return
            target_reader, target_writer = await asyncio.open_connection(
                HOST, self.target
            )
        except OSError:
            _reset_connection(writer)
            return
        finally:
            self._writers.discard(writer)
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy(reader, target_writer, False),
                self._copy(target_reader, writer, True),
            )
        except asyncio.CancelledError:
            # The event loop is closing; asyncio would log an error for each
            # connection.
            pass
        finally:
            self._writers -= {writer, target_writer}
            writer.transport.abort()
            target_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_target: bool,
    ) -> None:
        """Copy data in one direction.

        Once data was dropped in a direction, no later data is forwarded in
        it, because TCP never leaves a gap in the middle of a stream.

        :param from_target: whether the data are answers of the target.
        """
        data_lost = False
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self._mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_S)
                data_lost = data_lost or self._mode is Mode.SILENT
                data_lost = data_lost or (
                    self._mode is Mode.ONE_WAY and from_target
                )
                if data_lost:
                    continue
                writer.write(data)
                await writer.drain()
            if not data_lost and self._mode is not Mode.SILENT:
                writer.transport.abort()


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
