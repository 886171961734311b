"""Serves a stand-in with waitress, with a separate port for control calls."""

import argparse
import logging
import socket
import threading
import typing

import waitress
from waitress import wasyncore

from . import _http

HOST = "127.0.0.1"
LISTEN_BACKLOG = 1024
CONTROL_THREADS = 4
DEFAULT_THREADS = 128
SHUTDOWN_TIMEOUT_S = 1.0
#: Maximum wait for the server loop to apply a fault change. A loop that is
#: ending may never apply it.
LOOP_TIMEOUT_S = 10.0


class _Listener:
    """A waitress server with its own socket and event loop."""

    __slots__ = (
        "_socket_map",
        "_server",
        "_port",
        "_reserved_socket",
        "_loop_running",
    )

    def __init__(
        self, application: typing.Any, host: str, port: int, threads: int
    ) -> None:
        sock = _bind_socket(host, port)
        self._port: int = sock.getsockname()[1]
        self._socket_map: dict[int, typing.Any] = {}
        self._reserved_socket: socket.socket | None = None
        self._loop_running = False
        self._server = waitress.create_server(
            application,
            map=self._socket_map,
            sockets=[sock],
            threads=threads,
            send_bytes=1,
            asyncore_use_poll=True,
            channel_request_lookahead=1,
            connection_limit=4 * LISTEN_BACKLOG,
            backlog=LISTEN_BACKLOG,
            channel_timeout=3600,
        )

    @property
    def port(self) -> int:
        """The TCP port of the listener."""
        return self._port

    def run(self) -> None:
        """Serve until :meth:`stop`."""
        self._loop_running = True
        self._server.run()
        self._loop_running = False
        self._server.task_dispatcher.shutdown(timeout=SHUTDOWN_TIMEOUT_S)

    def stop(self) -> None:
        """Make the loop close every connection and return from :meth:`run`."""
        self._server.trigger.pull_trigger(self._end_loop)

    def close(self) -> None:
        """Close the loop's descriptors; call it after :meth:`run` returned.

        If the loop itself closed the trigger, :meth:`stop` could find the
        trigger's descriptor closed between queueing its function and waking
        the loop.
        """
        self._server.trigger.close()
        if self._reserved_socket is not None:
            self._reserved_socket.close()

    def set_refusing(self, refusing: bool) -> None:
        """Make the kernel refuse new connections, or accept them again.

        Only the loop's thread may change its sockets, and it does so
        asynchronously. Without the wait, the control call could return before
        the change, and a request sent right after the fault was cleared would
        sometimes be refused.
        """
        change = self._stop_listening if refusing else self._listen_again
        done = threading.Event()

        def apply_change() -> None:
            change()
            done.set()

        self._server.trigger.pull_trigger(apply_change)
        if self._loop_running:
            done.wait(LOOP_TIMEOUT_S)

    def _end_loop(self) -> None:
        for connection in list(self._server.active_channels.values()):
            connection.handle_close()
        if self._reserved_socket is None:
            wasyncore.dispatcher.close(self._server)
        self._socket_map.clear()

    def _stop_listening(self) -> None:
        if self._reserved_socket is not None:
            return
        host = self._server.socket.getsockname()[0]
        self._server.del_channel()
        self._server.socket.close()
        # A socket that is bound but not listening makes the kernel refuse
        # connections and keeps other processes from taking the port.
        self._reserved_socket = _bind_socket(host, self._port)

    def _listen_again(self) -> None:
        if self._reserved_socket is None:
            return
        sock, self._reserved_socket = self._reserved_socket, None
        sock.listen(LISTEN_BACKLOG)
        self._server.set_socket(sock, self._socket_map)


class Server:
    """Serves a stand-in from threads of this process.

    :param standin: the application.
    :param port: port of the service; 0 lets the system pick one.
    :param threads: maximum number of concurrent calls, including streams and
        long polls.
    :param host: address to bind both ports to.
    """

    __slots__ = ("_standin", "_service", "_control", "_threads")

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
        self._threads: list[threading.Thread] = []
        # Clients often disconnect early from a stand-in, so their disconnects
        # are not worth a log message.
        logging.getLogger("waitress").setLevel(logging.ERROR)
        standin.faults.add_listener(self._apply_refuse_fault)

    @property
    def port(self) -> int:
        """The port of the service, which also serves paths under /control."""
        return self._service.port

    @property
    def control_port(self) -> int:
        """A port that responds even if the service port refuses or is full."""
        return self._control.port

    def start(self) -> None:
        """Start serving on daemon threads."""
        self._threads = [
            threading.Thread(target=listener.run, daemon=True)
            for listener in (self._service, self._control)
        ]
        for thread in self._threads:
            thread.start()

    def wait(self) -> None:
        """Block until both loops have ended."""
        for thread in self._threads:
            thread.join()

    def close(self) -> None:
        """Stop serving and release the ports."""
        listeners = (self._service, self._control)
        for listener in listeners:
            listener.stop()
        for thread in self._threads:
            thread.join()
        for listener in listeners:
            listener.close()

    def _apply_refuse_fault(self) -> None:
        self._service.set_refusing(bool(self._standin.faults["refuse"]))


def argument_parser(description: str) -> argparse.ArgumentParser:
    """Create an argument parser with the flags common to all stand-ins."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--host", default=HOST)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--threads", type=int, default=DEFAULT_THREADS)
    return parser


def serve(standin: _http.StandIn, arguments: argparse.Namespace) -> int:
    """Print one line with the ports, then serve until killed."""
    server = Server(standin, arguments.port, arguments.threads, arguments.host)
    server.start()
    print(
        f"listening host={arguments.host} port={server.port}"
        f" control={server.control_port}",
        flush=True,
    )
    server.wait()
    return 0


def _bind_socket(host: str, port: int) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock
