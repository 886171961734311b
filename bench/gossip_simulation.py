"""Simulation of a fleet: many memberships in one process on a manual clock.

Runs events from a heap in order of time: ticks of each VM, and messages that
arrive after a delay or are lost. Failure tests use the simulation as well.
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

ActionObserver = typing.Callable[["Node", actions.Action], None]


class Node:
    """Simulated VM with its membership, state and resource counters.

    :param member: record of the VM.
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


def make_member(
    vm: str, data_centre: str, region: str = "", incarnation: int = 1
) -> pb.Member:
    """Return a member record whose addresses are derived from the name."""
    return pb.Member(
        vm=vm,
        data_centre=data_centre,
        region=region,
        callers_address=f"{vm}:80",
        peers_address=f"{vm}:81",
        incarnation=incarnation,
    )


class Fleet:
    """Simulated VMs, the network between them, and the clock.

    :param seed: seeds all random choices.
    :param delay_s: delay of a message in one direction.
    :param loss: fraction of the messages that is lost, in each direction.
    :param timing: timing of the memberships; the default if None.
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
        self.observers: list[ActionObserver] = []
        self.is_cut_off: typing.Callable[[Node, Node], bool] = (
            lambda a, b: False
        )
        self._by_address: dict[str, Node] = {}
        self._events: list[typing.Any] = []
        self._order = itertools.count()

    def add(
        self,
        member: pb.Member,
        hints: typing.Iterable[membership.Hint] = (),
        make: typing.Callable[..., typing.Any] = membership.Membership,
    ) -> Node:
        """Start a VM; it replaces a VM of the same name.

        :param hints: VMs that the new VM knows at its start.
        :param make: class with the interface of ``Membership``.
        """
        node = Node(member)
        rng = random.Random(self.rng.random())
        node.membership = make(self.clock, rng, member, self.timing, hints)
        self.nodes[member.vm] = node
        self._by_address[member.peers_address] = node
        self.schedule(self.rng.uniform(0, timings.TICK_S), self._tick, node)
        return node

    def crash(self, vm: str) -> None:
        """Stop a VM without announcing it to other VMs."""
        self.nodes[vm].running = False

    def pause(self, vm: str, seconds: float) -> None:
        """Pause a VM; messages that arrive are queued until it continues."""
        self.nodes[vm].paused_until = self.clock.now() + seconds

    def run(self, seconds: float) -> None:
        """Run the events of a period of virtual time."""
        end = self.clock.now() + seconds
        while self._events and self._events[0][0] <= end:
            at, _, function, arguments = heapq.heappop(self._events)
            self.clock.advance(at - self.clock.now())
            function(*arguments)
        self.clock.advance(end - self.clock.now())

    def run_until(
        self, condition: typing.Callable[[], bool], limit_s: float
    ) -> float | None:
        """Run events until a condition holds.

        :returns: seconds until the condition held, or None if it did not
            within the limit.
        """
        start = self.clock.now()
        while self.clock.now() - start < limit_s:
            if condition():
                return self.clock.now() - start
            self.run(timings.TICK_S)
        return None

    def perform(self, node: Node, wanted: list[actions.Action]) -> None:
        """Carry out actions of a VM and pass them to the observers."""
        for action in wanted:
            if isinstance(action, actions.Send):
                self._send(node, action)
            for watcher in self.observers:
                watcher(node, action)

    def schedule(
        self, delay_s: float, function: typing.Any, *arguments: typing.Any
    ) -> None:
        """Call a function after a delay in virtual time."""
        heapq.heappush(
            self._events,
            (
                self.clock.now() + delay_s,
                next(self._order),
                function,
                arguments,
            ),
        )

    def _tick(self, node: Node) -> None:
        if not node.running:
            return
        now = self.clock.now()
        if now < node.paused_until:
            self.schedule(node.paused_until - now, self._tick, node)
            return
        # After a pause the timer fires before queued messages are read.
        self._run_timed(node, node.membership.tick)
        backlog, node.backlog = node.backlog, []
        for is_answer, message in backlog:
            self._process(node, message, is_answer)
        self.schedule(timings.TICK_S, self._tick, node)

    def _send(self, node: Node, action: actions.Send) -> None:
        node.calls += 1
        target = self._by_address.get(action.address)
        self._transmit(node, target, action.message, self._receive_call, node)

    def _transmit(
        self,
        source: Node,
        target: Node | None,
        message: pb.GossipMessage,
        function: typing.Any,
        *arguments: typing.Any,
    ) -> None:
        size = message.ByteSize()
        source.sent_bytes += size
        if (
            target is None
            or not target.running
            or self.is_cut_off(source, target)
        ):
            return
        if self.rng.random() < self.loss:
            return
        target.received_bytes += size
        self.schedule(self.delay_s, function, *arguments, target, message)

    def _receive_call(
        self, source: Node, target: Node, message: pb.GossipMessage
    ) -> None:
        if not target.running:
            return
        if self.clock.now() < target.paused_until:
            target.backlog.append((False, message))
            return
        wanted = self._process(target, message, False)
        for action in wanted:
            if isinstance(action, actions.Reply):
                self._transmit(
                    target, source, action.message, self._receive_answer
                )

    def _receive_answer(self, target: Node, message: pb.GossipMessage) -> None:
        if self.clock.now() < target.paused_until:
            target.backlog.append((True, message))
        elif target.running:
            self._process(target, message, True)

    def _process(
        self, node: Node, message: pb.GossipMessage, is_answer: bool
    ) -> list[actions.Action]:
        handle = (
            node.membership.receive_reply
            if is_answer
            else (node.membership.receive)
        )
        return self._run_timed(node, handle, message)

    def _run_timed(
        self, node: Node, function: typing.Any, *arguments: typing.Any
    ) -> list[actions.Action]:
        start = time.perf_counter()
        wanted = function(*arguments)
        node.processor_s += time.perf_counter() - start
        self.perform(node, wanted)
        return wanted
