"""The task that communicates with the other entry VMs.

It runs the membership protocol over the peer link, the connections between
entry VMs. It delivers rumours, the messages that the protocol spreads by
gossip. It sends reports of runner crashes, asks the judge of a pool whether a
request that may have crashed a runner can run, and calls peers for other
tasks.
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

from . import fleet_listener
from . import fleet_messages
from . import future_chaining
from . import gossip_messages
from . import peer_calls
from . import trial_messages

CRASH_CALL_TIMEOUT_S = 0.4
JUDGE_CALL_TIMEOUT_S = 1.0
#: A crash report is sent by a call to at most this many peers; in a larger
#: fleet the others receive it by rumour only.
MAX_CRASH_CALLS = 16

_STATE_EVENTS = {
    pb.VM_ALIVE: "member_joined",
    pb.VM_SUSPECT: "member_suspected",
    pb.VM_LEAVING: "member_leaving",
    pb.VM_DEAD: "member_dead",
}


class AskJudge:
    """Message: ask the judge of a pool for permission to run a suspect.

    A suspect is a request that may have crashed a runner. The judge is the
    entry VM that alone grants trials, the runs of suspects, in that pool.
    The result is a :data:`.quarantine.TrialDecision`.

    :param pool: the pool, whose name determines the judge.
    :param request: the request for a trial.
    """

    __slots__ = ("pool", "request")

    def __init__(self, pool: str, request: quarantine.TrialRequest) -> None:
        self.pool = pool
        self.request = request


class ReportTrialEnd:
    """Message: report to the judge of a pool that a trial has ended."""

    __slots__ = ("pool", "report")

    def __init__(self, pool: str, report: quarantine.TrialEnded) -> None:
        self.pool = pool
        self.report = report


class BroadcastCrashReport:
    """Message: report a crash or a completed suspect to the other entry VMs.

    The report is sent by rumour to all, and also by a call to at most
    ``MAX_CRASH_CALLS`` of them. The future is done when the calls have ended.
    """

    __slots__ = ("report",)

    def __init__(self, report: crashes.Report) -> None:
        self.report = report


class SendCrashReport:
    """Message: send a crash report to one entry VM."""

    __slots__ = ("vm", "report")

    def __init__(self, vm: str, report: crashes.Report) -> None:
        self.vm = vm
        self.report = report


class _GossipReceived:
    """Message: a message of the membership protocol arrived from a peer.

    :param is_call: whether a peer called; if False, the message is the reply
        to a call of this VM.
    """

    __slots__ = ("message", "is_call")

    def __init__(self, message: pb.GossipMessage, is_call: bool) -> None:
        self.message = message
        self.is_call = is_call


class FleetLink(mailbox.Task):
    """Runs the membership protocol and calls peers for other tasks.

    :param config: the intervals, the timeouts and the seed nodes.
    :param link: the peer link, which must have been started.
    :param me: this VM's record.
    :param listener: is notified of changes in the fleet and of rumours.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        rng: random.Random,
        config: settings.Settings,
        link: peer_link.PeerLink,
        me: pb.Member,
        metrics: metrics_.Metrics,
        listener: fleet_listener.Listener,
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
        """Handle a peer's gossip call.

        :returns: a future for the reply.
        """
        return self.ask(_GossipReceived(message, True))

    @mailbox.handles(_GossipReceived)
    def _gossip_received(self, received: _GossipReceived) -> pb.GossipMessage:
        if not received.is_call:
            self._execute(self._membership.receive_reply(received.message))
            return pb.GossipMessage()
        pending_actions = self._membership.receive(received.message)
        replies = [
            action.message
            for action in pending_actions
            if isinstance(action, actions.Reply)
        ]
        self._execute(pending_actions)
        return replies[0] if replies else pb.GossipMessage()

    @mailbox.handles(fleet_messages.AnnounceRumour)
    def _announce(self, message: fleet_messages.AnnounceRumour) -> None:
        self._membership.announce(message.rumour)

    @mailbox.handles(fleet_messages.AdvertiseCatalogue)
    def _advertise_catalogue(
        self, message: fleet_messages.AdvertiseCatalogue
    ) -> None:
        self._membership.set_catalogue(message.version, message.digest)

    @mailbox.handles(fleet_messages.SetHints)
    def _set_hints(self, message: fleet_messages.SetHints) -> None:
        self._membership.set_hints(message.hints)

    @mailbox.handles(fleet_messages.GetView)
    def _get_view(self, message: fleet_messages.GetView) -> views.FleetView:
        return self._membership.view

    @mailbox.handles(fleet_messages.AnnounceLeave)
    def _announce_leave(self, message: fleet_messages.AnnounceLeave) -> None:
        self._execute(self._membership.announce_leave())

    @mailbox.handles(fleet_messages.AnnounceExit)
    def _announce_exit(
        self, message: fleet_messages.AnnounceExit
    ) -> "mailbox.Deferred":
        sends = [
            action
            for action in self._membership.announce_exit()
            if isinstance(action, actions.Send)
        ]
        calls = [self._send_gossip(action) for action in sends]
        future_chaining.complete_after_all(self.defer(), calls)
        return mailbox.DEFERRED

    @mailbox.handles(fleet_messages.CallPeer)
    def _call_peer(self, message: fleet_messages.CallPeer) -> mailbox.Deferred:
        future = self.defer()
        member = self._membership.view.members.get(message.vm)
        wrong_incarnation = message.incarnation not in (
            0,
            member.incarnation if member else 0,
        )
        if member is None or wrong_incarnation:
            future.set_exception(
                peer_link.PeerUnavailable(
                    message.vm,
                    "the requested incarnation is not a live member",
                    False,
                )
            )
            return mailbox.DEFERRED
        call = self._call(
            member.peers_address,
            message.method,
            message.message,
            message.timeout_s,
        )
        self._calls.track(member, call, future)
        return mailbox.DEFERRED

    @mailbox.handles(BroadcastCrashReport)
    def _broadcast_crash_report(
        self, message: BroadcastCrashReport
    ) -> mailbox.Deferred:
        report = gossip_messages.encode_crash_report(
            self._config.vm, message.report
        )
        self._membership.announce(gossip_messages.crash_rumour(report))
        others = [
            member
            for vm, member in self._membership.view.members.items()
            if vm != self._config.vm
        ]
        calls = [
            self._call(
                member.peers_address, "Crash", report, CRASH_CALL_TIMEOUT_S
            )
            for member in others[:MAX_CRASH_CALLS]
        ]
        future_chaining.complete_after_all(self.defer(), calls)
        return mailbox.DEFERRED

    @mailbox.handles(SendCrashReport)
    def _send_crash_report(self, message: SendCrashReport) -> None:
        member = self._membership.view.members.get(message.vm)
        if member is not None:
            report = gossip_messages.encode_crash_report(
                self._config.vm, message.report
            )
            self._call(
                member.peers_address, "Crash", report, CRASH_CALL_TIMEOUT_S
            )

    @mailbox.handles(AskJudge)
    def _ask_judge(self, message: AskJudge) -> mailbox.Deferred:
        future = self.defer()
        judge = self._remote_judge(message.pool)
        if judge is None:
            decision = self._listener.decide_trial(message.request)
            decision.add_done_callback(
                functools.partial(future_chaining.copy_result, future)
            )
            return mailbox.DEFERRED
        request = trial_messages.encode_request(message.request)
        call = self._call(
            judge.peers_address, "Judge", request, JUDGE_CALL_TIMEOUT_S
        )
        call.add_done_callback(
            functools.partial(trial_messages.complete_with_decision, future)
        )
        return mailbox.DEFERRED

    @mailbox.handles(ReportTrialEnd)
    def _report_trial_end(self, message: ReportTrialEnd) -> None:
        judge = self._remote_judge(message.pool)
        if judge is None:
            self._listener.on_trial_ended(message.report)
            return
        report = trial_messages.encode_trial_end(message.report)
        self._call(judge.peers_address, "Judge", report, JUDGE_CALL_TIMEOUT_S)

    def tick(self) -> None:
        """Probe peers, spread rumours and apply the protocol's timeouts."""
        self._execute(self._membership.tick())

    def failed(self, error: Exception) -> None:
        """Log an unexpected error of a handler."""
        logs.event("task_failed", task=self.name, error=repr(error))

    def _remote_judge(self, pool: str) -> pb.Member | None:
        """The VM that is the judge of a pool; None when it is this one."""
        view = self._membership.view
        names = view.serving_names()
        vm = rendezvous.pick(f"judge/{pool}", names) if names else None
        if vm is None or vm == self._config.vm:
            return None
        return view.members[vm]

    def _execute(self, pending_actions: list[actions.Action]) -> None:
        for action in pending_actions:
            self._execute_one(action)
        if any(
            isinstance(action, actions.MemberChanged)
            for action in pending_actions
        ):
            self._listener.on_view(self._membership.view)

    @functools.singledispatchmethod
    def _execute_one(self, action: typing.Any) -> None:
        """Perform one action of the membership protocol.

        This base case ignores a reply, which :meth:`_gossip_received` returns
        to the peer that called.
        """

    @_execute_one.register
    def _send(self, action: actions.Send) -> None:
        self._send_gossip(action)

    def _send_gossip(
        self, action: actions.Send
    ) -> "futures.Future[typing.Any]":
        future = self._call(
            action.address,
            "Gossip",
            action.message,
            self._config.timing.peer_timeout_s,
        )
        future.add_done_callback(self._handle_gossip_reply)
        return future

    @_execute_one.register
    def _member_changed(self, action: actions.MemberChanged) -> None:
        after = action.after
        before = action.before
        if after.state == pb.VM_DEAD:
            self._calls.cancel(after)
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

    @_execute_one.register
    def _incarnation_ended(self, action: actions.IncarnationEnded) -> None:
        self._listener.on_incarnation_ended(action.vm, action.incarnation)

    @_execute_one.register
    def _rumour_delivered(self, action: actions.RumourDelivered) -> None:
        self._listener.on_rumour(action.rumour, action.via)

    @_execute_one.register
    def _pause_detected(self, action: actions.PauseDetected) -> None:
        logs.event("paused", seconds=round(action.seconds, 3))
        self._listener.on_paused(action.seconds)

    @_execute_one.register
    def _superseded(self, action: actions.Superseded) -> None:
        self._listener.on_superseded()

    @_execute_one.register
    def _catalogue_advertised(
        self, action: actions.CatalogueAdvertised
    ) -> None:
        self._listener.on_catalogue_advertised(
            action.version, action.digest, action.via
        )

    def _call(
        self, address: str, method: str, message: typing.Any, timeout_s: float
    ) -> "futures.Future[typing.Any]":
        self._metrics.count("peers.calls")
        call = self._link.call(address, method, message, timeout_s)
        call.add_done_callback(self._count_failure)
        return call

    def _count_failure(self, call: "futures.Future[typing.Any]") -> None:
        if not call.cancelled() and call.exception() is not None:
            self._metrics.count("peers.failed")

    def _handle_gossip_reply(self, call: "futures.Future[typing.Any]") -> None:
        if call.cancelled() or call.exception() is not None:
            return
        reply = call.result()
        if reply.sender.vm:
            self.tell(_GossipReceived(reply, False))
