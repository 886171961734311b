"""Loopback TCP proxy that injects network faults."""

import asyncio
import contextlib
import enum
import socket
import struct

from tests.support import ports

HOST = ports.HOST
CHUNK_BYTES = 65536
BACKLOG = 100
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


class Cut(enum.Enum):
    """How a path is cut off."""

    #: Data is held in both directions until the cut ends, and attempts to
    #: connect time out.
    HANG = "hang"
    #: Open connections are reset, new ones are refused.
    RESET = "reset"
    #: Open connections stay usable, new ones are refused.
    REFUSE_NEW = "refuse_new"


class FaultProxy:
    """Forwards connections to one port.

    A cut takes precedence over the mode, which holds again after it.

    :param target: the port that connections are forwarded to.
    :param host: the loopback address to listen at.
    """

    def __init__(self, target: int, host: str = HOST) -> None:
        self.target = target
        self._host = host
        self._mode = Mode.PASS
        self._cut: Cut | None = None
        self._down = False
        self._reservations = ports.PortReservations()
        self._listening: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False
        self._writers: set[asyncio.StreamWriter] = set()
        #: Sockets that let attempts to connect time out.
        self._hanging: list[socket.socket] = []
        self._not_held = asyncio.Event()
        self._not_held.set()
        self.port = 0

    def start(self, port: int = 0) -> None:
        """Listen on a port, which stays reserved until the close.

        :param port: 0 for any free one.
        """
        self.port = self._reservations.reserve(self._host, port)
        self._listen()

    def set_mode(self, mode: Mode) -> None:
        """Change the mode for open and new connections."""
        self._mode = mode
        if mode is Mode.RESET:
            for writer in list(self._writers):
                _reset_connection(writer)

    def cut(self, cut: Cut) -> None:
        """Cut the path off until :meth:`heal` is called."""
        if self._closed or self._cut is not None:
            return
        self._cut = cut
        self._stop_listening()
        if cut is Cut.HANG:
            self._not_held.clear()
            self._hang_new_connections()
        elif cut is Cut.RESET:
            for writer in list(self._writers):
                _reset_connection(writer)

    def heal(self) -> None:
        """End the cut; held data goes on."""
        if self._closed or self._cut is None:
            return
        self._cut = None
        self._close_hanging()
        self._not_held.set()
        if not self._down:
            self._listen()

    def set_down(self, down: bool) -> None:
        """Set whether nothing listens at the target.

        While it is so, new connections are refused. Open ones are reset as it
        begins, but not behind a cut that holds data.
        """
        if self._closed or self._down == down:
            return
        self._down = down
        if down and self._cut is None:
            self._stop_listening()
        elif self._cut is None:
            self._listen()
        if down and self._cut is not Cut.HANG:
            for writer in list(self._writers):
                _reset_connection(writer)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._closed = True
        self._stop_listening()
        self._close_hanging()
        self._reservations.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _listen(self) -> None:
        self._listening = self._bind()
        self._listening.setblocking(False)
        self._listening.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(
            self._listening, self._accept, self._listening
        )

    def _stop_listening(self) -> None:
        if self._listening is not None:
            asyncio.get_running_loop().remove_reader(self._listening)
            self._listening.close()
            self._listening = None

    def _accept(self, listening: socket.socket) -> None:
        with contextlib.suppress(OSError):
            accepted, _ = listening.accept()
            accepted.setblocking(False)
            task = asyncio.ensure_future(self._serve(accepted))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _bind(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((self._host, self.port))
        return sock

    def _hang_new_connections(self) -> None:
        """Let attempts to connect time out.

        The kernel drops them while the queue of connections that the listening
        socket has not accepted is full. A backlog of 0 has room for one.
        """
        listening, filling = self._bind(), socket.socket()
        listening.listen(0)
        filling.setblocking(False)
        filling.connect_ex((self._host, self.port))
        self._hanging = [listening, filling]

    def _close_hanging(self) -> None:
        hanging, self._hanging = self._hanging, []
        for sock in hanging:
            sock.close()

    async def _serve(self, accepted: socket.socket) -> None:
        reader, writer = await asyncio.open_connection(sock=accepted)
        self._writers.add(writer)
        try:
            if self._mode is Mode.RESET or self._cut is Cut.RESET:
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
            while data := await self._read(reader):
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

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        """Read data, or the end, and hold it while the path hangs."""
        data = await reader.read(CHUNK_BYTES)
        await self._not_held.wait()
        return data


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
