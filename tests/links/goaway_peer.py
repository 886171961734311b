"""Ends of an HTTP/2 connection that choose when a GOAWAY is sent or read."""

import socket
import struct
import threading

from h2 import config
from h2 import connection
from h2 import events

TIMEOUT_S = 5.0
HOST = "127.0.0.1"


def _frame(message):
    body = message.SerializeToString()
    return struct.pack("!BI", 0, len(body)) + body


class GoAwayServer:
    """Answers all calls of one connection but the last, and sends a GOAWAY.

    :param answer: the message that answers a call.
    :param answers: how many calls are answered; the GOAWAY follows the next
        call, or stands in the packet of the last answer if ``at_once``.
    :param last_stream: the stream that the GOAWAY names.
    """

    def __init__(self, answer, answers, last_stream, at_once=False):
        self._answer = answer
        self._answers = answers
        self._last_stream = last_stream
        self._at_once = at_once
        self._listener = socket.create_server((HOST, 0))
        self.address = "%s:%d" % self._listener.getsockname()
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self):
        accepted, _ = self._listener.accept()
        # A further connection is refused, as by a server that has stopped.
        self._listener.close()
        accepted.settimeout(TIMEOUT_S)
        link = connection.H2Connection(
            config.H2Configuration(client_side=False, header_encoding="utf-8")
        )
        link.initiate_connection()
        answered = 0
        with accepted:
            while True:
                accepted.sendall(link.data_to_send())
                data = accepted.recv(65536)
                if not data:
                    return
                if answered > self._answers:
                    continue
                for event in link.receive_data(data):
                    if not isinstance(event, events.StreamEnded):
                        continue
                    answered += 1
                    if answered <= self._answers:
                        self._send_answer(link, event.stream_id)
                    if answered == self._answers + (not self._at_once):
                        answered = self._answers + 1
                        link.close_connection(last_stream_id=self._last_stream)

    def _send_answer(self, link, stream):
        link.send_headers(
            stream, [(":status", "200"), ("content-type", "application/grpc")]
        )
        link.send_data(stream, _frame(self._answer))
        link.send_headers(stream, [("grpc-status", "0")], end_stream=True)


class SlowClient:
    """Makes calls to a peer and closes its connection only when told.

    :param address: the peer's "host:port".
    """

    def __init__(self, address):
        host, port = address.split(":")
        self._socket = socket.create_connection((host, int(port)), TIMEOUT_S)
        self._link = connection.H2Connection(
            config.H2Configuration(header_encoding="utf-8")
        )
        self._link.initiate_connection()
        self._authority = address

    def call(self, method, message):
        """Send a call, also after a GOAWAY has arrived unread."""
        stream = self._link.get_next_available_stream_id()
        self._link.send_headers(
            stream,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", f"/apricotlever.links.Peers/{method}"),
                (":authority", self._authority),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
            ],
        )
        self._link.send_data(stream, _frame(message), end_stream=True)
        self._socket.sendall(self._link.data_to_send())

    def read_until(self, kind):
        """Read until an event of a kind, which is returned."""
        while data := self._socket.recv(65536):
            for event in self._link.receive_data(data):
                if isinstance(event, kind):
                    return event
        raise AssertionError(f"the connection ended without a {kind}")

    def read_end(self):
        """Read until the peer closes; a reset raises an error."""
        while self._socket.recv(65536):
            pass

    def close(self):
        """Close the connection."""
        self._socket.close()
