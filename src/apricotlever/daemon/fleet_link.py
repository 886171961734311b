"""The task that speaks to the other entry VMs.

It drives the membership over the peer link, delivers rumours, spreads
crash reports, asks judges, and carries other tasks' calls to peers.
"""

from concurrent import futures
import functools
import random
import typing

from .. import clock as clocks
from .. import logs
from .. import mailbox
from .. import metrics as metrics_
from .. import settings
from ..links import peer_link
from ..links import peer_pb2 as pb
from ..runners import crashes
from ..runners import quarantine
from ..vms import actions
from ..vms import fleet_view as views
from ..vms import membership
from ..vms import rendezvous
from ..vms import timing

from . import fleet_messages
from . import future_chaining
from . import gossip_messages
from . import listeners
from . import peer_calls
from . import trial_messages

CRASH_CALL_S = 0.4
JUDGE_CALL_S = 1.0
#: In a fleet larger than this the judge and a few others hear of a crash by
#: a call, and the rest by rumour.
CALLED_AT_ONCE = 16

_STATE_EVENTS = {
    pb.VM_ALIVE: "member_joined",
    pb.VM_SUSPECT: "member_suspected",
    pb.VM_LEAVING: "member_leaving",
    pb.VM_DEAD: "member_dead",
}


class AskJudge:
    """Ask the judge of a pool about a suspect.

    :param pool: picks the judge.
    """

    __slots__ = ("pool", "question")

    def __init__(self, pool: str, question: quarantine.TrialRequest) -> None:
        self.pool = pool
        self.question = question


class TrialDone:
    """Tell the judge of a pool that a trial is over."""

    __slots__ = ("pool", "report")

    def __init__(self, pool: str, report: quarantine.TrialEnded) -> None:
        self.pool = pool
        self.report = report


class SpreadCrash:
    """Tell the others of a death or survival; answered when they know."""

    __slots__ = ("report",)

    def __init__(self, report: crashes.Report) -> None:
        self.report = report


class TellCrash:
    """Tell one VM of a death."""

    __slots__ = ("vm", "report")

    def __init__(self, vm: str, report: crashes.Report) -> None:
        self.vm = vm
        self.report = report


class _Received:
    """A gossip message came in, as a call or as an answer."""

    __slots__ = ("message", "asked")

    def __init__(self, message: pb.GossipMessage, asked: bool) -> None:
        self.message = message
        self.asked = asked


class FleetLink(mailbox.Task):
    """This VM's part in the fleet.

    :param config: intervals and first contacts.
    :param link: carries calls; started already.
    :param me: this VM's record.
    :param listener: told of what changes.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.Settings,
        link: peer_link.PeerLink,
        me: pb.Member,
        metrics: metrics_.Metrics,
        listener: listeners.Listener,
    ) -> None:
        super().__init__("fleet", clock, timing.TICK_S)
        self._config = config
        self._link = link
        self._metrics = metrics
        self._listener = listener
        self._calls = peer_calls.PeerCalls()
        self._membership = membership.Membership(
            clock,
            rng,
            me,
            timing.MembershipTiming(
                probe_interval_s=config.timing.probe_interval_s,
                probe_timeout_s=config.timing.probe_timeout_s,
                sync_interval_s=config.timing.sync_interval_s,
            ),
            [
                membership.Hint(seed.vm, str(seed.address), "")
                for seed in config.seeds
            ],
        )

    def receive(
        self, message: pb.GossipMessage
    ) -> "futures.Future[pb.GossipMessage]":
        """Take in a peer's call; the future is its answer."""
        return self.ask(_Received(message, True))

    @mailbox.handles(_Received)
    def _received(self, received: _Received) -> pb.GossipMessage:
        if not received.asked:
            self._carry_out(self._membership.answered(received.message))
            return pb.GossipMessage()
        found = self._membership.receive(received.message)
        replies = [
            action.message
            for action in found
            if isinstance(action, actions.Reply)
        ]
        self._carry_out(found)
        return replies[0] if replies else pb.GossipMessage()

    @mailbox.handles(fleet_messages.Announce)
    def _announce(self, message: fleet_messages.Announce) -> None:
        self._membership.announce(message.rumour)

    @mailbox.handles(fleet_messages.CatalogueKnown)
    def _catalogue(self, message: fleet_messages.CatalogueKnown) -> None:
        self._membership.set_catalogue(message.version, message.digest)

    @mailbox.handles(fleet_messages.Hints)
    def _hinted(self, message: fleet_messages.Hints) -> None:
        self._membership.set_hints(message.hints)

    @mailbox.handles(fleet_messages.ViewWanted)
    def _view_wanted(
        self, message: fleet_messages.ViewWanted
    ) -> views.FleetView:
        return self._membership.view

    @mailbox.handles(fleet_messages.Leave)
    def _leave(self, message: fleet_messages.Leave) -> None:
        self._carry_out(self._membership.announce_leave())

    @mailbox.handles(fleet_messages.Depart)
    def _depart(self, message: fleet_messages.Depart) -> "mailbox.Deferred":
        sends = [
            action
            for action in self._membership.announce_exit()
            if isinstance(action, actions.Send)
        ]
        calls = [self._send(action) for action in sends]
        future_chaining.settle_with_all(self.defer(), calls)
        return mailbox.DEFERRED

    @mailbox.handles(fleet_messages.CallPeer)
    def _call_peer(self, message: fleet_messages.CallPeer) -> mailbox.Deferred:
        future = self.defer()
        member = self._membership.view.members.get(message.vm)
        other = message.incarnation not in (
            0,
            member.incarnation if member else 0,
        )
        if member is None or other:
            future.set_exception(
                peer_link.PeerUnavailable(message.vm, "not in the view", False)
            )
            return mailbox.DEFERRED
        call = self._call(
            member.peers_address,
            message.method,
            message.message,
            message.timeout_s,
        )
        self._calls.follow(member, call, future)
        return mailbox.DEFERRED

    @mailbox.handles(SpreadCrash)
    def _spread_crash(self, message: SpreadCrash) -> mailbox.Deferred:
        report = gossip_messages.crash_message(self._config.vm, message.report)
        self._membership.announce(gossip_messages.of_crash(report))
        others = [
            member
            for vm, member in self._membership.view.members.items()
            if vm != self._config.vm
        ]
        calls = [
            self._call(member.peers_address, "Crash", report, CRASH_CALL_S)
            for member in others[:CALLED_AT_ONCE]
        ]
        future_chaining.settle_with_all(self.defer(), calls)
        return mailbox.DEFERRED

    @mailbox.handles(TellCrash)
    def _tell_crash(self, message: TellCrash) -> None:
        member = self._membership.view.members.get(message.vm)
        if member is not None:
            report = gossip_messages.crash_message(
                self._config.vm, message.report
            )
            self._call(member.peers_address, "Crash", report, CRASH_CALL_S)

    @mailbox.handles(AskJudge)
    def _ask_judge(self, message: AskJudge) -> mailbox.Deferred:
        future = self.defer()
        judge = self._judge_of(message.pool)
        if judge is None:
            local = self._listener.judge(message.question)
            local.add_done_callback(
                functools.partial(future_chaining.copy, future)
            )
            return mailbox.DEFERRED
        question = trial_messages.question_message(message.question)
        call = self._call(judge.peers_address, "Judge", question, JUDGE_CALL_S)
        call.add_done_callback(
            functools.partial(trial_messages.decide, future)
        )
        return mailbox.DEFERRED

    @mailbox.handles(TrialDone)
    def _trial_done(self, message: TrialDone) -> None:
        judge = self._judge_of(message.pool)
        if judge is None:
            self._listener.trial_over(message.report)
            return
        over = trial_messages.over_message(message.report)
        self._call(judge.peers_address, "Judge", over, JUDGE_CALL_S)

    def tick(self) -> None:
        """Probe, suspect and spread what is due."""
        self._carry_out(self._membership.tick())

    def failed(self, error: Exception) -> None:
        """Log what no handler foresaw."""
        logs.event("task_failed", task=self.name, error=repr(error))

    def _judge_of(self, pool: str) -> pb.Member | None:
        """The VM that judges a pool; None when it is this one."""
        view = self._membership.view
        names = view.serving_names()
        vm = rendezvous.pick(f"judge/{pool}", names) if names else None
        if vm is None or vm == self._config.vm:
            return None
        return view.members[vm]

    def _carry_out(self, found: list[actions.Action]) -> None:
        for action in found:
            self._carry_out_one(action)
        if any(isinstance(action, actions.MemberChanged) for action in found):
            self._listener.on_view(self._membership.view)

    @functools.singledispatchmethod
    def _carry_out_one(self, action: typing.Any) -> None:
        """A reply, which its caller sends."""

    @_carry_out_one.register
    def _sent(self, action: actions.Send) -> None:
        self._send(action)

    def _send(self, action: actions.Send) -> "futures.Future[typing.Any]":
        future = self._call(
            action.address,
            "Gossip",
            action.message,
            self._config.timing.peer_timeout_s,
        )
        future.add_done_callback(self._answered)
        return future

    @_carry_out_one.register
    def _changed(self, action: actions.MemberChanged) -> None:
        after = action.after
        before = action.before
        if after.state == pb.VM_DEAD:
            self._calls.give_up(after)
        if before is not None and before.state == after.state:
            return
        if after.state == pb.VM_ALIVE:
            self._listener.on_joined(after.vm)
        logs.event(
            _STATE_EVENTS[after.state],
            member=after.vm,
            incarnation=after.incarnation,
            data_centre=after.data_centre,
        )

    @_carry_out_one.register
    def _incarnation_ended(self, action: actions.IncarnationEnded) -> None:
        self._listener.on_incarnation_ended(action.vm, action.incarnation)

    @_carry_out_one.register
    def _delivered(self, action: actions.RumourDelivered) -> None:
        self._listener.on_rumour(action.rumour, action.via)

    @_carry_out_one.register
    def _paused(self, action: actions.PauseDetected) -> None:
        logs.event("paused", seconds=round(action.seconds, 3))
        self._listener.on_paused(action.seconds)

    @_carry_out_one.register
    def _superseded(self, action: actions.Superseded) -> None:
        self._listener.on_superseded()

    @_carry_out_one.register
    def _heard(self, action: actions.CatalogueAdvertised) -> None:
        self._listener.on_catalogue_heard(
            action.version, action.digest, action.via
        )

    def _call(
        self, address: str, method: str, message: typing.Any, timeout_s: float
    ) -> "futures.Future[typing.Any]":
        self._metrics.count("peers.calls")
        call = self._link.call(address, method, message, timeout_s)
        call.add_done_callback(self._counted)
        return call

    def _counted(self, call: "futures.Future[typing.Any]") -> None:
        if not call.cancelled() and call.exception() is not None:
            self._metrics.count("peers.failed")

    def _answered(self, call: "futures.Future[typing.Any]") -> None:
        if call.cancelled() or call.exception() is not None:
            return
        answer = call.result()
        if answer.sender.vm:
            self.tell(_Received(answer, False))
