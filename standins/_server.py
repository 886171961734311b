"""Runs a stand-in on waitress, with a second port just for its control."""

import argparse
import logging
import socket
import threading
import typing

import waitress
from waitress import wasyncore

from . import _http

HOST = "127.0.0.1"
BACKLOG = 1024
CONTROL_THREADS = 4
DEFAULT_THREADS = 128
STOP_S = 1.0
#: How long a change of a fault waits for the loop, which may be ending.
STEP_S = 10.0


class _Listener:
    """One waitress server with a loop of its own."""

    __slots__ = ("_map", "_server", "_port", "_reserved", "_looping")

    def __init__(
        self, application: typing.Any, host: str, port: int, threads: int
    ) -> None:
        sock = _bound(host, port)
        self._port: int = sock.getsockname()[1]
        self._map: dict[int, typing.Any] = {}
        self._reserved: socket.socket | None = None
        self._looping = False
        self._server = waitress.create_server(
            application,
            map=self._map,
            sockets=[sock],
            threads=threads,
            send_bytes=1,
            asyncore_use_poll=True,
            channel_request_lookahead=1,
            connection_limit=4 * BACKLOG,
            backlog=BACKLOG,
            channel_timeout=3600,
        )

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._port

    def run(self) -> None:
        """Serve until :meth:`end`."""
        self._looping = True
        self._server.run()
        self._looping = False
        self._server.task_dispatcher.shutdown(timeout=STOP_S)

    def end(self) -> None:
        """Make the loop close each connection and return."""
        self._server.trigger.pull_trigger(self._end_loop)

    def close(self) -> None:
        """Close what the loop used; only after the loop has returned.

        Were it closed by the loop, :meth:`end` could find its descriptor
        gone between queueing the step and waking the loop.
        """
        self._server.trigger.close()
        if self._reserved is not None:
            self._reserved.close()

    def refuse(self, refusing: bool) -> None:
        """Make the kernel refuse new connections, or accept them again.

        Only the loop may touch its sockets, and it does so when it comes to
        it. Were that not waited for, the control would answer first, and a
        call right after a mended fault would be refused once in a while.
        """
        step = self._stop_listening if refusing else self._listen_again
        done = threading.Event()

        def carry_out() -> None:
            step()
            done.set()

        self._server.trigger.pull_trigger(carry_out)
        if self._looping:
            done.wait(STEP_S)

    def _end_loop(self) -> None:
        for connection in list(self._server.active_channels.values()):
            connection.handle_close()
        if self._reserved is None:
            wasyncore.dispatcher.close(self._server)
        self._map.clear()

    def _stop_listening(self) -> None:
        if self._reserved is not None:
            return
        host = self._server.socket.getsockname()[0]
        self._server.del_channel()
        self._server.socket.close()
        # Bound but not listening: connections are refused, and no other
        # process can be given the port meanwhile.
        self._reserved = _bound(host, self._port)

    def _listen_again(self) -> None:
        if self._reserved is None:
            return
        sock, self._reserved = self._reserved, None
        sock.listen(BACKLOG)
        self._server.set_socket(sock, self._map)


class Server:
    """A stand-in being served from threads of this process.

    :param standin: the application.
    :param port: of the service; 0 picks one.
    :param threads: calls served at once, streams and long polls included.
    """

    __slots__ = ("_standin", "_service", "_control", "_running")

    def __init__(
        self,
        standin: _http.StandIn,
        port: int = 0,
        threads: int = DEFAULT_THREADS,
        host: str = HOST,
    ) -> None:
        self._standin = standin
        self._service = _Listener(standin, host, port, threads)
        self._control = _Listener(standin, host, 0, CONTROL_THREADS)
        self._running: list[threading.Thread] = []
        # A client that breaks off is an ordinary event for a stand-in.
        logging.getLogger("waitress").setLevel(logging.ERROR)
        standin.faults.on_change(self._faults_changed)

    @property
    def port(self) -> int:
        """The port of the service; it answers /control as well."""
        return self._service.port

    @property
    def control_port(self) -> int:
        """A port that answers even when the other refuses or is full."""
        return self._control.port

    def start(self) -> None:
        """Serve from daemon threads."""
        self._running = [
            threading.Thread(target=listener.run, daemon=True)
            for listener in (self._service, self._control)
        ]
        for thread in self._running:
            thread.start()

    def wait(self) -> None:
        """Block until both loops have ended."""
        for thread in self._running:
            thread.join()

    def close(self) -> None:
        """Stop serving."""
        listeners = (self._service, self._control)
        for listener in listeners:
            listener.end()
        for thread in self._running:
            thread.join()
        for listener in listeners:
            listener.close()

    def _faults_changed(self) -> None:
        self._service.refuse(bool(self._standin.faults["refuse"]))


def parser(description: str) -> argparse.ArgumentParser:
    """An argument parser with the flags that each stand-in has."""
    made = argparse.ArgumentParser(description=description)
    made.add_argument("--host", default=HOST)
    made.add_argument("--port", type=int, default=0)
    made.add_argument("--threads", type=int, default=DEFAULT_THREADS)
    return made


def serve(standin: _http.StandIn, arguments: argparse.Namespace) -> int:
    """Serve until killed, after one line that tells the ports."""
    server = Server(standin, arguments.port, arguments.threads, arguments.host)
    server.start()
    print(
        f"listening host={arguments.host} port={server.port}"
        f" control={server.control_port}",
        flush=True,
    )
    server.wait()
    return 0


def _bound(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock
