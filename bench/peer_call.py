"""What one call between entry VMs costs on this machine's loopback.

Processor time for both ends in one process, and the bytes that HTTP/2 and
gRPC add to the messages, counted at a forwarding socket in between.
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
# Two data segments and, at most, an acknowledgement for each: 52 bytes of
# TCP and IPv4 headers with timestamps.
HEADER_BYTES = 4 * 52


class CallCost:
    """Of one call.

    :param processor_s: both ends together.
    :param added_bytes: beside the messages, TCP and IP headers included.
    """

    def __init__(self, processor_s: float, added_bytes: float) -> None:
        self.processor_s = processor_s
        self.added_bytes = added_bytes


class _CountingRelay:
    """Forwards one TCP connection and counts its bytes."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.carried_bytes = 0
        self._start(self._accept)

    @property
    def address(self) -> str:
        """Where to connect."""
        return "127.0.0.1:%d" % self._listener.getsockname()[1]

    def _start(self, work, *arguments) -> None:
        threading.Thread(target=work, args=arguments, daemon=True).start()

    def _accept(self) -> None:
        near, _ = self._listener.accept()
        host, port = self._target.split(":")
        far = socket.create_connection((host, int(port)))
        self._start(self._pump, near, far)
        self._start(self._pump, far, near)

    def _pump(self, source: socket.socket, target: socket.socket) -> None:
        while chunk := source.recv(CHUNK_BYTES):
            self.carried_bytes += len(chunk)
            target.sendall(chunk)


def measure(calls: int = 1000) -> CallCost:
    """Make calls from one link to another in this process."""
    handlers = peer_link.Handlers()
    answer = pb.GossipMessage(ack=pb.Ack(sequence=1))
    handlers.register("Gossip")(lambda message: answer)
    server = peer_link.PeerLink("127.0.0.1", 0, handlers)
    client = peer_link.PeerLink("127.0.0.1", 0, peer_link.Handlers())
    server.start()
    client.start()
    question = pb.GossipMessage(probe=pb.Probe(sequence=1, target="v1"))

    def exchange(address: str) -> None:
        client.call(address, "Gossip", question, TIMEOUT_S).result()

    exchange(server.address)
    start = time.process_time()
    for _ in range(calls):
        exchange(server.address)
    processor_s = (time.process_time() - start) / calls
    relay = _CountingRelay(server.address)
    exchange(relay.address)
    before = relay.carried_bytes
    for _ in range(calls):
        exchange(relay.address)
    carried = (relay.carried_bytes - before) / calls
    client.stop()
    server.stop()
    added = carried - question.ByteSize() - answer.ByteSize()
    return CallCost(processor_s, added + HEADER_BYTES)


def run(arguments: list[str]) -> int:
    """Print the cost of a call."""
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
