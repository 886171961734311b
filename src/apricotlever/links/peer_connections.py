"""HTTP/2 connections between entry VMs that end with a GOAWAY.

GOAWAY names the last stream that the server may have handled. Without it, a
client whose call crosses the end of the connection can't tell whether the
call was run. h2 sends nothing after a GOAWAY, so it follows the answers of
the calls in progress; calls that arrive before it are refused by the service.
"""

import typing
import weakref

from grpclib import client
from grpclib import exceptions
from grpclib import protocol
from grpclib import server

from .. import socket_options


class StreamNotHandled(exceptions.StreamTerminatedError):
    """The peer's GOAWAY excludes this call: it was not and will not be run."""


class _ServerProtocol(protocol.H2Protocol):
    """A server's connection that can announce its end."""

    _last_handled: int | None = None
    _is_going_away = False
    is_open = False

    def connection_made(self, transport: typing.Any) -> None:
        """Set up the connection."""
        super().connection_made(transport)
        self.is_open = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the calls of the connection."""
        self.is_open = False
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Process frames; after the GOAWAY, discard them."""
        # Closing a socket with unread data resets the connection, and the
        # client would lose a GOAWAY that it has not read yet.
        if not self._is_going_away:
            super().data_received(data)

    def stop_handling(self) -> None:
        """Record that the service handles no stream that arrives later."""
        if self.is_open:
            self._last_handled = self._highest_stream_id()

    def go_away(self) -> None:
        """Cancel the calls that are left, and send the GOAWAY."""
        if not self.is_open or self._is_going_away:
            return
        self._is_going_away = True
        self.handler.close()
        # A connection without a recorded stream was made after the service
        # had stopped handling calls.
        last_handled = self._last_handled or 0
        self.connection._connection.close_connection(
            last_stream_id=last_handled
        )
        self.connection.flush()

    def close(self) -> None:
        """Close the connection after all that was written."""
        if self.is_open:
            self.processor.close()

    def _highest_stream_id(self) -> int:
        return int(self.connection._connection.highest_inbound_stream_id)


class Server(server.Server):
    """A server that announces the end of its connections when it stops.

    grpclib leaves them open. A peer would go on sending calls over its cached
    connection and get no answer, instead of an error that tells that the
    server has stopped.
    """

    def __init__(self, service: typing.Any) -> None:
        super().__init__([service])
        self._protocols: weakref.WeakSet[_ServerProtocol] = weakref.WeakSet()

    @property
    def has_connections(self) -> bool:
        """Whether a connection is still open."""
        return any(made.is_open for made in self._protocols)

    def _protocol_factory(self) -> protocol.H2Protocol:
        plain = super()._protocol_factory()
        made = _ServerProtocol(plain.handler, plain.config, plain.h2_config)
        self._protocols.add(made)
        return made

    def stop_handling(self) -> None:
        """Record the last stream of each connection that may be handled.

        The service must refuse all streams that arrive after this call.
        """
        for made in list(self._protocols):
            made.stop_handling()

    def go_away(self) -> None:
        """Send a GOAWAY on each connection, and read on without effect."""
        for made in list(self._protocols):
            made.go_away()

    def close_connections(self) -> None:
        """Close all connections that are still open."""
        for made in list(self._protocols):
            made.close()


class _ClientProcessor(protocol.EventsProcessor):
    """Applies a GOAWAY to each call by its stream's number.

    grpclib ends all calls alike, even one whose complete answer stands before
    the GOAWAY in the same packet.
    """

    def __init__(
        self,
        handler: protocol.AbstractHandler,
        connection: protocol.Connection,
    ) -> None:
        super().__init__(handler, connection)
        self._answered: set[int] = set()
        self._is_going_away = False

    def register(self, stream: protocol.Stream) -> typing.Callable[[], None]:
        """Register a call's stream; the result releases it."""
        release = super().register(stream)

        def release_stream() -> None:
            release()
            self._answered.discard(stream.id or 0)
            self._close_if_done()

        return release_stream

    def process_stream_ended(self, event: typing.Any) -> None:
        """Record that a stream's answer is complete."""
        super().process_stream_ended(event)
        self._answered.add(event.stream_id)

    def process_connection_terminated(self, event: typing.Any) -> None:
        """End the calls without an answer, and take no new ones."""
        self._is_going_away = True
        # The channel opens a new connection for its next call.
        self.handler.close()
        for stream in list(self.streams.values()):
            number = stream.id or 0
            if number in self._answered:
                continue
            if number > event.last_stream_id and stream.wrapper is not None:
                stream.wrapper.cancel(StreamNotHandled("the peer is stopping"))
            else:
                stream.__terminated__("the peer has closed the connection")
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self._is_going_away and not self.streams:
            self.close()


class _ClientProtocol(protocol.H2Protocol):
    """A client's connection that applies a GOAWAY to each call."""

    def connection_made(self, transport: typing.Any) -> None:
        """Set up the connection."""
        super().connection_made(transport)
        socket_options.PEERS.apply(transport.get_extra_info("socket"))
        self.processor = _ClientProcessor(self.handler, self.connection)


class Channel(client.Channel):
    """A channel whose calls fail with :class:`StreamNotHandled` if not run."""

    def _protocol_factory(self) -> protocol.H2Protocol:
        plain = super()._protocol_factory()
        return _ClientProtocol(plain.handler, plain.config, plain.h2_config)
