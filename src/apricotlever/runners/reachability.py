"""Decides whether this VM is isolated: whether it has lost all runners.

Failures alone don't show it. One dead runner, or all of one service, make many
calls fail as well, and a connection that hangs makes none fail. So a VM that
has reason to doubt opens a few connections of its own, to runners of several
services and data centres. Only if all of these fail, and no byte came from any
runner meanwhile, does it take itself for isolated.
"""

import enum
import random
import typing

from .. import clock as clocks

from . import connection_failures
from . import probe_targets
from . import probes_under_way
from . import process_pauses
from . import reach_evidence
from . import waiting_calls

#: Calls that wait for so long, in seconds, without a byte from any runner
#: lead to a probe.
SILENCE_S = 0.8
#: Time from a probe that was answered to the next one for mere silence, in
#: seconds. A slow answer is no reason for more.
ANSWERED_SILENCE_S = 1.5
#: A failure is no reason for a probe for this many seconds after a byte or an
#: opened connection.
RECENT_CONTACT_S = 0.5
#: Probes under way at once.
MAX_PROBES = 4
#: Least time between two probes of a VM without new connections, in seconds.
SEARCH_INTERVAL_S = 0.38
#: One of so many of these probes goes to the runner that was reached last.
ROUND = 4
#: While others are isolated, a VM without calls probes if it had no contact
#: for this many seconds.
IDLE_S = 1.0

_NEVER = float("-inf")


class Reach(enum.Enum):
    """Which runners this VM reaches."""

    #: Bytes came, or a connection opened, since the last failure.
    CONNECTED = "connected"
    #: Something failed or is silent since, or there was no contact yet.
    SUSPECTED = "suspected"
    #: New connections fail everywhere, while open ones bring bytes.
    NO_NEW_CONNECTIONS = "no_new_connections"
    #: New connections fail everywhere, and no bytes come.
    ISOLATED = "isolated"


#: States in which no new connection to a runner opens.
LACKING = frozenset((Reach.NO_NEW_CONNECTIONS, Reach.ISOLATED))


class Reachability:
    """Tells from calls and probes which runners this VM reaches.

    :param clock: the source of time.
    :param rng: orders probes, so that VMs don't probe the same runners.
    """

    __slots__ = (
        "_broken_at",
        "_bytes_at",
        "_clock",
        "_cut_since",
        "_failures",
        "_opened_at",
        "_pauses",
        "_peers",
        "_probes",
        "_reached",
        "_since",
        "_state",
        "_targets",
        "_trust",
        "_waiting",
    )

    def __init__(
        self, clock: clocks.Clock, rng: random.Random | None = None
    ) -> None:
        self._clock = clock
        self._targets = probe_targets.ProbeTargets(rng or random.Random(0))
        self._waiting = waiting_calls.WaitingCalls(clock)
        self._trust = waiting_calls.SilenceTrust()
        self._failures = connection_failures.ConnectionFailures(clock)
        self._probes = probes_under_way.ProbesUnderWay(clock)
        self._reached: str | None = None
        self._state, self._since = Reach.SUSPECTED, clock.now()
        self._peers = reach_evidence.PeerWords(clock)
        self._cut_since = _NEVER
        self._pauses = process_pauses.ProcessPauses(clock)
        self._restart()

    @property
    def state(self) -> Reach:
        """Which runners this VM reaches."""
        self._decide()
        return self._state

    @property
    def is_isolated(self) -> bool:
        """Whether this VM reaches no runner."""
        return self.state is Reach.ISOLATED

    @property
    def lacks_new_connections(self) -> bool:
        """Whether only open connections to runners bring bytes."""
        return self.state is Reach.NO_NEW_CONNECTIONS

    @property
    def lacks_paths(self) -> bool:
        """Whether new connections to runners fail, wherever they go."""
        return self.state in LACKING

    @property
    def is_connected(self) -> bool:
        """Whether nothing suggests that this VM lost its runners."""
        return self.state is Reach.CONNECTED

    @property
    def since(self) -> float:
        """When the state began, by the clock."""
        self._decide()
        return self._since

    @property
    def cut_since(self) -> float:
        """When this VM last lost its paths, at the earliest.

        That is the last contact before, or the last connection that opened.
        """
        return self._cut_since

    @property
    def probes(self) -> int:
        """The number of probes since the start."""
        return self._probes.count

    @property
    def evidence(self) -> reach_evidence.Evidence:
        """On what the state rests."""
        return reach_evidence.Evidence(
            tuple(sorted(self._failures.recent())),
            self._failures.count,
            reach_evidence.age_s(self._bytes_at, self._clock.now()),
            len(self._failures.recent_probes()),
            self._peers,
            self.since,
        )

    def set_runners(
        self,
        ids: typing.Iterable[str],
        places: typing.Mapping[str, probe_targets.Place] | None = None,
    ) -> None:
        """Set the listed runners of all services.

        :param ids: their IDs.
        :param places: their services and data centres, by ID. Without them,
            all runners count as those of one service in one data centre.
        """
        self._targets.set_runners(ids, places or {})
        self._failures.keep_only(self._targets.names)
        if not self._targets.names:
            self._restart()

    def call_sent(self, runner: str) -> None:
        """Count a call that waits for bytes of a runner."""
        self._note_pauses()
        self._waiting.sent()

    def call_ended(self, runner: str) -> None:
        """Count a call that has ended, whatever its outcome."""
        self._note_pauses()
        self._waiting.ended()

    def bytes_received(self, runner: str) -> None:
        """Record that bytes arrived from a runner."""
        self._bytes_at = self._note_pauses()
        self._waiting.restart()
        self._broken_at = _NEVER
        if self._state is Reach.ISOLATED:
            self._trust.disproved()
            self._enter(Reach.NO_NEW_CONNECTIONS)

    def connection_opened(self, runner: str, at: float = float("inf")) -> None:
        """Record that a connection to a runner opened, by call or probe.

        :param at: when it opened, by the clock, if that is only seen now.
        """
        now = self._note_pauses()
        if at < self._failures.last_at:
            # It doesn't show that connections open again.
            return
        self._opened_at = now
        self._reached = runner
        self._probes.answered(runner)
        if self._state is Reach.ISOLATED:
            # The silence so far is explained.
            self._waiting.restart()
        self._failures.clear()
        self._trust.reset()
        self._broken_at = _NEVER
        self._enter(Reach.CONNECTED)

    def connection_failed(self, runner: str) -> None:
        """Record that no connection to a runner opened, by call or probe."""
        self._note_pauses()
        by_probe = self._probes.ended(runner)
        if not self._pauses.just_ended and runner in self._targets.names:
            self._failures.record(runner, by_probe)

    def connection_broken(self, runner: str) -> None:
        """Record that an open connection was reset, or closed midway."""
        now = self._note_pauses()
        if not self._pauses.just_ended:
            self._broken_at = now

    def probe_dropped(self, runner: str) -> None:
        """Record that a probe was not made, or shows nothing."""
        self._probes.ended(runner)

    def set_peers(self, reaching: int, isolated: int, age_s: float) -> None:
        """Set what the other VMs say of themselves.

        :param reaching: how many say that they reach runners.
        :param isolated: how many say that they are isolated.
        :param age_s: age of their words, in seconds.
        """
        self._peers.set(reaching, isolated, age_s)

    def vouches_since(self, at: float) -> bool:
        """Whether this VM has heard from some runner after a time.

        A VM that hears none can't say anything bad of one.

        :param at: the time, by the clock.
        """
        return not self.lacks_paths and self._contact_at > at

    def probes_due(self) -> list[str]:
        """IDs of runners to which to open a connection now.

        To be called about every 0.1 s. The result of each probe is to be
        reported by :meth:`connection_opened`, :meth:`connection_failed` or
        :meth:`probe_dropped`.
        """
        now = self._note_pauses()
        self._pauses.tick()
        self._probes.expire()
        self._failures.expire()
        due = []
        for _ in range(self._wanted_probes(now) - len(self._probes.names)):
            chosen = self._choose_probe(now)
            if chosen is None:
                break
            self._probes.started(chosen)
            due.append(chosen)
        return due

    @property
    def _contact_at(self) -> float:
        return max(self._bytes_at, self._opened_at)

    @property
    def _trouble_at(self) -> float:
        return max(self._broken_at, self._failures.last_at)

    def _wanted_probes(self, now: float) -> int:
        """How many probes should be under way.

        One suffices at first, as it nearly always shows that all is well.
        """
        if self.lacks_paths:
            return int(now - self._probes.last_at >= SEARCH_INTERVAL_S)
        if not self._targets.names or not self._has_doubt(now):
            return 0
        failed = self._failures.recent_probes(self._bytes_at)
        if failed or self._probes.is_slow or len(self._failures.recent()) > 1:
            return MAX_PROBES
        return 1

    def _has_doubt(self, now: float) -> bool:
        """Whether there is a reason to probe."""
        contact_s = now - self._contact_at
        answered_s = now - self._probes.answered_at
        troubled = self._trouble_at > self._contact_at
        if troubled and contact_s >= RECENT_CONTACT_S:
            return True
        many = len(self._failures.recent()) >= self._targets.many
        if many and answered_s >= RECENT_CONTACT_S:
            return True
        if self._waiting.silent_s >= SILENCE_S:
            return answered_s >= ANSWERED_SILENCE_S
        idle_s = min(contact_s, now - self._probes.last_at)
        return self._peers.some_are_isolated and idle_s >= IDLE_S

    def _choose_probe(self, now: float) -> str | None:
        """The runner to probe next; None if enough are being probed."""
        pending = self._probes.names
        if self._state is Reach.ISOLATED:
            return self._targets.choose(pending, None)
        if self._state is Reach.NO_NEW_CONNECTIONS:
            after = now - ROUND * SEARCH_INTERVAL_S
        else:
            after = self._bytes_at
        tried = pending | self._failures.recent(after)
        probed = pending | self._failures.recent_probes(after)
        count = self._failures.count + len(pending)
        if self._state is not Reach.NO_NEW_CONNECTIONS and (
            self._targets.suffice(tried, probed, count, self._reached)
        ):
            return None
        # Where there are no others, the same runners are tried again.
        return self._targets.choose(
            tried, self._reached
        ) or self._targets.choose(pending, None)

    def _decide(self) -> None:
        if self._state is Reach.ISOLATED:
            return
        if self._targets.all_fail(
            self._failures, self._reached, self._bytes_at
        ) and (
            not self._waiting.count
            or self._waiting.silent_s >= self._trusted_s
        ):
            self._enter(Reach.ISOLATED)
        elif self._state is Reach.NO_NEW_CONNECTIONS:
            return
        elif self._opens_none:
            self._enter(Reach.NO_NEW_CONNECTIONS)
        elif (
            self._contact_at == _NEVER
            or self._trouble_at > self._contact_at
            or self._waiting.silent_s >= SILENCE_S
        ):
            self._enter(Reach.SUSPECTED)
        else:
            self._enter(Reach.CONNECTED)

    @property
    def _opens_none(self) -> bool:
        """Whether new connections fail everywhere, while bytes come."""
        later = self._failures.recent(self._bytes_at)
        before = self._failures.recent() - later
        return len(before) >= self._targets.many and self._targets.all_fail(
            self._failures, self._reached
        )

    @property
    def _trusted_s(self) -> float:
        """How long waiting calls may be silent on open connections."""
        return self._trust.limit_s(
            self._state is Reach.NO_NEW_CONNECTIONS
            and self._broken_at <= self._bytes_at
        )

    def _enter(self, state: Reach) -> None:
        if state is self._state:
            return
        if self._state not in LACKING and state in LACKING:
            isolated = state is Reach.ISOLATED
            self._cut_since = self._contact_at if isolated else self._opened_at
        self._state, self._since = state, self._clock.now()

    def _note_pauses(self) -> float:
        """Discard what a pause of the process has spoiled.

        :returns: the time.
        """
        pause = self._pauses.check()
        if pause is not process_pauses.Pause.NONE:
            self._failures.clear()
            self._probes.clear()
            self._waiting.restart()
            self._broken_at = _NEVER
        if pause is process_pauses.Pause.SUSPENSION:
            self._restart()
        return self._clock.now()

    def _restart(self) -> None:
        """Forget all evidence."""
        self._bytes_at = self._opened_at = self._broken_at = _NEVER
        self._failures.clear()
        self._probes.clear()
        self._waiting.restart()
        self._reached = None
        self._trust.reset()
        self._state, self._since = Reach.SUSPECTED, self._clock.now()
