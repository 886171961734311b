"""An upstream that sends given bytes and then ends in a given way."""

import re
import socket
import struct
import threading
import time

HOST = "127.0.0.1"
READ_BYTES = 65536
REQUEST_TIMEOUT_S = 5.0
#: When an upstream sends an answer that nobody has asked for, in seconds after
#: the last one.
LATE_ANSWER_S = 0.05
LATE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

BODY = b"12345678"
_HEAD = b"HTTP/1.1 200 OK\r\n"
_LENGTH = b"Content-Length: 8\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
_WHOLE = _HEAD + _LENGTH + b"\r\n" + BODY

#: Bytes that an upstream sends, by name.
ANSWERS = {
    "half of its announced length": _HEAD + _LENGTH + b"\r\n1234",
    "half of its length, stated twice": _HEAD + 2 * _LENGTH + b"\r\n1234",
    "a length that is no number": _HEAD + b"Content-Length: 8k\r\n\r\n1234",
    "lengths that contradict": (
        _HEAD + b"Content-Length: 4\r\n" + _LENGTH + b"\r\n1234"
    ),
    "half a chunk": _HEAD + _CHUNKED + b"8\r\n1234",
    "chunks without the last one": _HEAD + _CHUNKED + b"8\r\n12345678\r\n",
    "half of the size of a chunk": (
        _HEAD + _CHUNKED + b"04\r\n1234\r\n0"  # of 04
    ),
    "a body without length": _HEAD + b"\r\n" + BODY,
    "a length and chunks": (
        _HEAD + _LENGTH + _CHUNKED + b"8\r\n12345678\r\n0\r\n\r\n"
    ),
    "a coding that nobody knows": (
        _HEAD + b"Transfer-Encoding: zip\r\n\r\n12345678"
    ),
    "half of a head": _HEAD + b"Content-Le",
    "a head without its last line": _HEAD + b"Cache-Control: no-store\r\n",
    "an interim answer only": _INTERIM,
    "interim answers and a whole one": (
        b"HTTP/1.1 100 Continue\r\n\r\n" + _INTERIM + _INTERIM + _WHOLE
    ),
    "its announced length": _WHOLE,
    "its length, stated twice": _HEAD + 2 * _LENGTH + b"\r\n" + BODY,
    "all chunks": _HEAD + _CHUNKED + b"8\r\n12345678\r\n0\r\n\r\n",
    "the length of what a GET gets": _HEAD + _LENGTH + b"\r\n",
    "304 with a length": (
        b"HTTP/1.1 304 Not Modified\r\n" + _LENGTH + b"\r\n"
    ),
    "a whole document": _HEAD + b"Content-Length: 2\r\n\r\n{}",
    "an empty body without length": _HEAD + b"\r\n",
    "an empty body of its announced length": (
        _HEAD + b"Content-Length: 0\r\n\r\n"
    ),
}

#: What an upstream does after it has sent its bytes, by name.
ENDINGS = {}


def ending(name):
    """Register what an upstream does at the end under a name."""

    def decorate(function):
        ENDINGS[name] = function
        return function

    return decorate


@ending("closes")
def _close(upstream, connection):
    connection.close()


@ending("ends")
def _end(upstream, connection):
    # The listening socket closes first, as at the end of a process, which
    # closes its descriptors in the order in which they were opened.
    upstream.refuse()
    connection.close()


@ending("resets")
def _reset(upstream, connection):
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )
    connection.close()


@ending("keeps silent")
def _keep_silent(upstream, connection):
    upstream.keep(connection)


@ending("answers once more")
def _answer_again(upstream, connection):
    time.sleep(LATE_ANSWER_S)
    connection.sendall(LATE_ANSWER)
    upstream.keep(connection)


class ScriptedUpstream:
    """Sends each connection's requests the given answers.

    :param answers: the bytes to send for each request; the last ones are sent
        again for each further request. Where they hold ``{id}``, the id of
        the request is sent.
    :param end: the name of what happens after the last one of a connection;
        until then the connection stays open.
    """

    def __init__(self, answers, end):
        self._answers = list(answers)
        self._end = ENDINGS[end]
        self._kept = []
        #: The ids of the requests that were read.
        self.requests = []
        #: Whether a request asked for the end of its connection.
        self.was_asked_to_close = False
        self._listener = socket.create_server((HOST, 0))
        self.address = f"{HOST}:{self._listener.getsockname()[1]}"
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def refuse(self):
        """Refuse connections from now on."""
        # A close alone would leave the thread's accept in place.
        try:
            self._listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            # It refuses them already.
            return
        self._listener.close()

    def keep(self, connection):
        """Keep a connection open until the upstream is closed."""
        self._kept.append(connection)

    def close(self):
        """Close all connections and wait for the thread."""
        self.refuse()
        for connection in self._kept:
            connection.close()
        self._thread.join()

    def _serve(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            connection.settimeout(REQUEST_TIMEOUT_S)
            try:
                self._answer(connection)
            except OSError:
                connection.close()

    def _answer(self, connection):
        for answer in self._answers:
            request = _read_request(connection)
            if not request:
                connection.close()
                return
            self.was_asked_to_close |= b"Connection: close" in request
            found = re.search(rb"Apricotlever-Request: (\S+)", request)
            request_id = found.group(1) if found else b""
            self.requests.append(request_id.decode())
            connection.sendall(answer.replace(b"{id}", request_id))
        self._end(self, connection)


def _read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        received = connection.recv(READ_BYTES)
        if not received:
            return b""
        data += received
    return data
