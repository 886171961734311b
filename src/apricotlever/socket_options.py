"""Socket options by which the kernel ends connections that went silent.

A network device that dropped a connection's state, or a machine without
power, discards packets without a reset. The kernel notices this by what stays
unacknowledged, and by keep-alive probes while nothing is outstanding. Without
these options a connection stays open for many minutes, or for ever.
"""

import fcntl
import socket
import struct
import termios

MS_PER_S = 1000


class KeepAlive:
    """How soon a connection ends whose other end acknowledges nothing.

    Linux lets ``TCP_USER_TIMEOUT``, where it is set, decide when probes have
    failed, whatever their count. So it is derived from their schedule: it
    passes half an interval before the time at which one probe more would be
    sent.

    :param idle_s: seconds without a packet before the first probe.
    :param interval_s: seconds between two probes.
    :param probes: number of probes without an answer that end the connection.
    """

    __slots__ = ("_idle_s", "_interval_s", "_probes")

    def __init__(self, idle_s: int, interval_s: int, probes: int) -> None:
        self._idle_s = idle_s
        self._interval_s = interval_s
        self._probes = probes

    @property
    def timeout_s(self) -> int:
        """Seconds from the last packet to the end of a silent connection."""
        return self._idle_s + self._interval_s * self._probes

    @property
    def user_timeout_ms(self) -> int:
        """How long sent bytes may stay unacknowledged, in milliseconds."""
        margin_ms = self._interval_s * MS_PER_S // 2
        return self.timeout_s * MS_PER_S - margin_ms

    def apply(self, sock: socket.socket, probing: bool = True) -> None:
        """Set the options of a TCP socket, and send small packets at once.

        On a listening socket they apply to the connections that it accepts.

        :param probing: whether probes are sent at once; if not,
            :func:`set_probing` starts them.
        """
        for option, value in (
            (socket.TCP_NODELAY, 1),
            (socket.TCP_KEEPIDLE, self._idle_s),
            (socket.TCP_KEEPINTVL, self._interval_s),
            (socket.TCP_KEEPCNT, self._probes),
            (socket.TCP_USER_TIMEOUT, self.user_timeout_ms),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
        if probing:
            set_probing(sock, True)


def set_probing(sock: socket.socket, probing: bool) -> None:
    """Start or stop the keep-alive probes of a TCP socket."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(probing))


def reset_on_close(sock: socket.socket) -> None:
    """Let the end of a TCP socket reset its connection."""
    sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
    )


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Bytes that were written and that the peer's machine has not received.

    :returns: 0 if the system doesn't tell.
    """
    try:
        found = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", found)[0])


#: Connections on which a caller's call waits for a response. Two probes, so
#: that the loss of one, or a second of silence of a sound peer, ends none.
CALLS = KeepAlive(idle_s=1, interval_s=1, probes=2)
#: Pooled connections to upstreams, whose users have shorter deadlines of their
#: own for each phase of an exchange.
UPSTREAMS = KeepAlive(idle_s=3, interval_s=1, probes=3)
#: Connections to the platform.
PLATFORM = KeepAlive(idle_s=5, interval_s=2, probes=3)
#: Connections of callers. A caller that takes nothing for so long has gone,
#: and its calls need not run on.
CALLERS = KeepAlive(idle_s=5, interval_s=2, probes=3)
#: Connections between entry VMs, which are kept for long.
PEERS = KeepAlive(idle_s=15, interval_s=5, probes=3)
