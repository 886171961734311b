"""Many memberships in one process, on one manual clock.

A plain loop over a heap of events: ticks of each VM, and messages that
arrive after a delay, or never. Tests of failures use it as well.
"""

import heapq
import itertools
import random
import time
import typing

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import membership
from apricotlever.vms import timing as timings

Watcher = typing.Callable[["Node", actions.Action], None]


class Node:
    """One VM: its membership, and what became of it.

    :param member: its record.
    """

    def __init__(self, member: pb.Member) -> None:
        self.member = member
        self.membership: typing.Any = None
        self.running = True
        self.paused_until = 0.0
        self.sent_bytes = 0
        self.received_bytes = 0
        self.calls = 0
        self.processor_s = 0.0
        self.backlog: list[tuple[bool, pb.GossipMessage]] = []

    @property
    def vm(self) -> str:
        """The VM's name."""
        return self.member.vm


def member_of(
    vm: str, data_centre: str, region: str = "", incarnation: int = 1
) -> pb.Member:
    """A record with addresses made of the name."""
    return pb.Member(
        vm=vm,
        data_centre=data_centre,
        region=region,
        callers_address=f"{vm}:80",
        peers_address=f"{vm}:81",
        incarnation=incarnation,
    )


class Fleet:
    """VMs, the network between them, and the clock.

    :param seed: of everything that is random.
    :param delay_s: one way.
    :param loss: part of the messages that is lost, each way.
    """

    def __init__(
        self,
        seed: int = 1,
        delay_s: float = 0.002,
        loss: float = 0.0,
        timing: timings.MembershipTiming | None = None,
    ) -> None:
        self.clock = clocks.ManualClock()
        self.rng = random.Random(seed)
        self.delay_s = delay_s
        self.loss = loss
        self.timing = timing or timings.MembershipTiming()
        self.nodes: dict[str, Node] = {}
        self.watchers: list[Watcher] = []
        self.cut: typing.Callable[[Node, Node], bool] = lambda a, b: False
        self._by_address: dict[str, Node] = {}
        self._events: list[typing.Any] = []
        self._order = itertools.count()

    def add(
        self,
        member: pb.Member,
        hints: typing.Iterable[membership.Hint] = (),
        make: typing.Callable[..., typing.Any] = membership.Membership,
    ) -> Node:
        """Start a VM; one of the same name is replaced.

        :param make: a class with the interface of ``Membership``.
        """
        node = Node(member)
        own = random.Random(self.rng.random())
        node.membership = make(self.clock, own, member, self.timing, hints)
        self.nodes[member.vm] = node
        self._by_address[member.peers_address] = node
        self.later(self.rng.uniform(0, timings.TICK_S), self._tick, node)
        return node

    def crash(self, vm: str) -> None:
        """The process ends without a word."""
        self.nodes[vm].running = False

    def pause(self, vm: str, seconds: float) -> None:
        """The process stands still; what arrives waits for it."""
        self.nodes[vm].paused_until = self.clock.now() + seconds

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.clock.now() + seconds
        while self._events and self._events[0][0] <= end:
            at, _, work, arguments = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            work(*arguments)
        self.clock.advance(end - self.clock.now())

    def run_until(
        self, done: typing.Callable[[], bool], limit_s: float
    ) -> float | None:
        """Let time pass until something holds.

        :returns: the seconds it took, or None when the limit came first.
        """
        start = self.clock.now()
        while self.clock.now() - start < limit_s:
            if done():
                return self.clock.now() - start
            self.run(timings.TICK_S)
        return None

    def perform(self, node: Node, found: list[actions.Action]) -> None:
        """Carry out actions of a VM."""
        for action in found:
            if isinstance(action, actions.Send):
                self._send(node, action)
            for watcher in self.watchers:
                watcher(node, action)

    def later(
        self, delay_s: float, work: typing.Any, *arguments: typing.Any
    ) -> None:
        """Do something after a while of virtual time."""
        heapq.heappush(
            self._events,
            (
                self.clock.now() + delay_s,
                next(self._order),
                work,
                arguments,
            ),
        )

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        now = self.clock.now()
        if now < node.paused_until:
            self.later(node.paused_until - now, self._tick, node)
            return
        # After a pause the timer fires before what waited is read.
        self._timed(node, node.membership.tick)
        backlog, node.backlog = node.backlog, []
        for is_answer, message in backlog:
            self._hand_over(node, message, is_answer)
        self.later(timings.TICK_S, self._tick, node)

    def _send(self, node: Node, action: actions.Send) -> None:
        node.calls += 1
        target = self._by_address.get(action.address)
        self._carry(node, target, action.message, self._call, node)

    def _carry(
        self,
        source: Node,
        target: Node | None,
        message: pb.GossipMessage,
        work: typing.Any,
        *arguments: typing.Any,
    ) -> None:
        size = message.ByteSize()
        source.sent_bytes += size
        if target is None or not target.running or self.cut(source, target):
            return
        if self.rng.random() < self.loss:
            return
        target.received_bytes += size
        self.later(self.delay_s, work, *arguments, target, message)

    def _call(
        self, source: Node, target: Node, message: pb.GossipMessage
    ) -> None:
        if not target.running:
            return
        if self.clock.now() < target.paused_until:
            target.backlog.append((False, message))
            return
        found = self._hand_over(target, message, False)
        for action in found:
            if isinstance(action, actions.Reply):
                self._carry(target, source, action.message, self._answer)

    def _answer(self, target: Node, message: pb.GossipMessage) -> None:
        if self.clock.now() < target.paused_until:
            target.backlog.append((True, message))
        elif target.running:
            self._hand_over(target, message, True)

    def _hand_over(
        self, node: Node, message: pb.GossipMessage, is_answer: bool
    ) -> list[actions.Action]:
        take = (
            node.membership.answered
            if is_answer
            else (node.membership.receive)
        )
        return self._timed(node, take, message)

    def _timed(
        self, node: Node, work: typing.Any, *arguments: typing.Any
    ) -> list[actions.Action]:
        start = time.perf_counter()
        found = work(*arguments)
        node.processor_s += time.perf_counter() - start
        self.perform(node, found)
        return found
