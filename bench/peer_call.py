"""Cost of one call between entry VMs over this machine's loopback interface.

Measures the processor time of both ends in one process, and the bytes that
HTTP/2 and gRPC add to the messages, counted by a forwarding proxy between the
ends.
"""

import argparse
import json
import socket
import threading
import time

from apricotlever.links import peer_link
from apricotlever.links import peer_pb2 as pb

TIMEOUT_S = 5.0
CHUNK_BYTES = 65536
# TCP and IPv4 headers with timestamps take 52 bytes. A call has two data
# segments and at most one acknowledgement for each.
HEADER_BYTES = 4 * 52


class CallCost:
    """Cost of one call.

    :param processor_s: processor time of both ends together.
    :param added_bytes: bytes on the wire in addition to the messages, TCP and
        IP headers included.
    """

    def __init__(self, processor_s: float, added_bytes: float) -> None:
        self.processor_s = processor_s
        self.added_bytes = added_bytes


class _CountingProxy:
    """Forwards one TCP connection and counts its bytes."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.forwarded_bytes = 0
        self._start_thread(self._accept)

    @property
    def address(self) -> str:
        """The address that the proxy listens at."""
        return "127.0.0.1:%d" % self._listener.getsockname()[1]

    def _start_thread(self, target, *arguments) -> None:
        threading.Thread(target=target, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        client, _ = self._listener.accept()
        host, port = self._target.split(":")
        server = socket.create_connection((host, int(port)))
        self._start_thread(self._forward, client, server)
        self._start_thread(self._forward, server, client)

    def _forward(self, source: socket.socket, target: socket.socket) -> None:
        while chunk := source.recv(CHUNK_BYTES):
            self.forwarded_bytes += len(chunk)
            target.sendall(chunk)


def measure(calls: int = 1000) -> CallCost:
    """Measure calls from one link to another in this process.

    :param calls: number of calls, for each of the two measurements.
    """
    handlers = peer_link.Handlers()
    response = pb.GossipMessage(ack=pb.Ack(sequence=1))
    handlers.register("Gossip")(lambda message: response)
    server = peer_link.PeerLink("127.0.0.1", 0, handlers)
    client = peer_link.PeerLink("127.0.0.1", 0, peer_link.Handlers())
    server.start()
    client.start()
    request = pb.GossipMessage(probe=pb.Probe(sequence=1, target="v1"))

    def exchange(address: str) -> None:
        client.call(address, "Gossip", request, TIMEOUT_S).result()

    exchange(server.address)
    start = time.process_time()
    for _ in range(calls):
        exchange(server.address)
    processor_s = (time.process_time() - start) / calls
    proxy = _CountingProxy(server.address)
    exchange(proxy.address)
    bytes_before = proxy.forwarded_bytes
    for _ in range(calls):
        exchange(proxy.address)
    bytes_per_call = (proxy.forwarded_bytes - bytes_before) / calls
    client.stop()
    server.stop()
    added_bytes = bytes_per_call - request.ByteSize() - response.ByteSize()
    return CallCost(processor_s, added_bytes + HEADER_BYTES)


def run(arguments: list[str]) -> int:
    """Print the cost of a call as one JSON line."""
    parser = argparse.ArgumentParser(prog="bench peer_call")
    parser.add_argument("--calls", type=int, default=2000)
    options = parser.parse_args(arguments)
    cost = measure(options.calls)
    print(
        json.dumps(
            {
                "case": "peer_call",
                "processor_us": round(cost.processor_s * 1e6),
                "added_bytes": round(cost.added_bytes),
            }
        )
    )
    return 0
