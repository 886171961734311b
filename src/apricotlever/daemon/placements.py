"""Tracks which request runs at which runner and plans evacuations.

An evacuation moves the streams away from runners that will be reclaimed. This
is part of the dispatcher's state and does no I/O.
"""

from .. import clock as clocks
from ..requests import evacuation
from ..requests import export_time_estimator
from ..requests import recovery
from ..runners import crashes
from ..runners import model as runners
from ..runners import routing

from . import dispatcher_messages
from . import model_request

#: The deadline of a request bounds its retries. This limit only prevents
#: endless retries of a request that no runner can finish.
MAX_ATTEMPTS_AFTER_CRASHES = 12
MAX_CANDIDATES = 8


class _Placement:
    """The record that a request was sent to a runner.

    ``moving_to`` is the name of the runner that the stream is moving to; it
    is empty when the stream is not moving.

    :param dispatch: the message that placed the request.
    :param runner: the runner that has the request.
    """

    __slots__ = ("dispatch", "runner", "moving_to")

    def __init__(
        self, dispatch: dispatcher_messages.Dispatch, runner: runners.Runner
    ) -> None:
        self.dispatch = dispatch
        self.runner = runner
        self.moving_to = ""


class Placements:
    """Tracks the requests of one entry VM at their runners.

    :param clock: the source of time.
    :param router: knows the runners and their load.
    :param vm: this VM's name, which crash reports state.
    """

    __slots__ = (
        "_clock",
        "_router",
        "_vm",
        "_placements",
        "_crash_reported_at",
        "_reclaimed_at",
        "_export_times",
    )

    def __init__(
        self, clock: clocks.Clock, router: routing.Router, vm: str
    ) -> None:
        self._clock = clock
        self._router = router
        self._vm = vm
        self._placements: dict[str, _Placement] = {}
        self._crash_reported_at: dict[str, float] = {}
        self._reclaimed_at: dict[str, float] = {}
        self._export_times = export_time_estimator.ExportTimeEstimator()

    def __len__(self) -> int:
        return len(self._placements)

    def place(
        self, dispatch: dispatcher_messages.Dispatch, runner: runners.Runner
    ) -> None:
        """Record that a request was sent to a runner."""
        self._placements[dispatch.request_id] = _Placement(dispatch, runner)

    def runner_of(self, request_id: str) -> runners.Runner | None:
        """The runner that a request was sent to; None if it is at none."""
        placement = self._placements.get(request_id)
        return placement.runner if placement else None

    def dispatch_of(
        self, request_id: str
    ) -> dispatcher_messages.Dispatch | None:
        """The message that placed a request; None if it is at no runner."""
        placement = self._placements.get(request_id)
        return placement.dispatch if placement else None

    def remove(self, request_id: str) -> None:
        """Record that a request is no longer at its runner."""
        self._placements.pop(request_id, None)

    def set_reclaim_time(self, runner: str, left_s: float) -> None:
        """Record when a runner will be reclaimed.

        :param runner: name of the runner.
        :param left_s: seconds until then.
        """
        self._reclaimed_at[runner] = self._clock.now() + left_s

    def forget_runner(self, runner: str) -> None:
        """Forget the reclaim time of a runner that has ended."""
        self._reclaimed_at.pop(runner, None)

    def record_export(self, tokens: int, seconds: float | None) -> None:
        """Record how long moving a stream's state took.

        :param tokens: length of the prompt and the answer so far.
        :param seconds: duration of the move; None when it failed.
        """
        if seconds is None:
            self._export_times.observe_timeout()
        else:
            self._export_times.observe(tokens, seconds)

    def crashed(
        self, runner: runners.Runner
    ) -> crashes.CrashObservation | None:
        """Record a runner's crash.

        Each request at the runner may report the same crash; only the first
        report in a window counts.

        :param runner: the runner that crashed.
        :returns: the report to send to the other entry VMs; None when the
            crash was reported already.
        """
        now = self._clock.now()
        reported_at = self._crash_reported_at.get(runner.name, float("-inf"))
        suspects = tuple(
            crashes.SuspectRequest(
                placement.dispatch.features.fingerprint,
                placement.dispatch.request_id,
                placement.dispatch.attempt,
                placement.dispatch.on_trial,
                placement.dispatch.features.customer_hash,
                placement.dispatch.features.parts,
            )
            for placement in self._placements.values()
            if placement.runner.name == runner.name
        )
        has_notice = self._router.is_leaving(runner.name)
        self._router.runner_crashed(runner.name)
        report = crashes.CrashObservation(
            self._vm,
            runner.name,
            runner.data_centre,
            0.0,
            has_notice,
            suspects,
        )
        if now - reported_at < crashes.SAME_CRASH_WINDOW_S:
            return None
        self._crash_reported_at[runner.name] = now
        return report

    def evacuate(self) -> None:
        """Move the streams away from runners that will be reclaimed.

        All moves are planned together. Planned one by one, all streams would
        choose the runner with the most free slots.
        """
        if not self._reclaimed_at:
            return
        affected = [
            placement
            for placement in self._placements.values()
            if placement.runner.name in self._reclaimed_at
            and placement.dispatch.request is not None
        ]
        candidates: dict[str, list[recovery.Candidate]] = {}
        situations = []
        for placement in affected:
            request = placement.dispatch.request
            assert request is not None
            pool = request.entry.pool
            if pool not in candidates:
                candidates[pool] = self.candidates(request, frozenset())
            situation = self.situation(
                request,
                placement.runner,
                recovery.RecoveryCause.NOTICE,
                candidates[pool],
            )
            situation.moving_to = placement.moving_to
            situations.append(situation)
        for move in evacuation.plan_evacuation(situations):
            self._apply_move(self._placements[move.request_id], move.decision)

    def _apply_move(
        self, placement: _Placement, decision: recovery.RecoveryDecision
    ) -> None:
        if not isinstance(decision, (recovery.ExportTo, recovery.Replay)):
            return
        request = placement.dispatch.request
        assert request is not None
        if request.set_decision(placement.runner.name, decision):
            placement.moving_to = decision.runner

    def situation(
        self,
        request: model_request.ModelRequest,
        runner: runners.Runner,
        cause: recovery.RecoveryCause,
        candidates: list[recovery.Candidate],
        failures: int = 0,
        stuck_resumptions: int = 0,
    ) -> recovery.AffectedStream:
        """Describe a stream that needs a recovery decision.

        :param request: the request.
        :param runner: the runner that has the stream.
        :param cause: why the stream needs a decision.
        :param candidates: the runners that it may move to.
        :param failures: how many attempts have failed.
        :param stuck_resumptions: how often in a row the stream was resumed at
            its runner without a new token.
        """
        sent = request.transcript.tokens()
        tokens = request.completion_request.prompt_tokens + len(sent)
        remaining = request.completion_request.max_tokens - len(sent)
        reclaimed_at = self._reclaimed_at.get(runner.name, float("inf"))
        return recovery.AffectedStream(
            request.request_id,
            cause,
            runner.name,
            request.service_class.priority,
            request.completion_request.prompt_tokens,
            sent,
            remaining * request.service_class.between_tokens_s,
            reclaimed_at - self._clock.now(),
            self._export_times.estimate_s(tokens),
            request.left_s,
            failures,
            MAX_ATTEMPTS_AFTER_CRASHES,
            stuck_resumptions,
            "",
            candidates,
        )

    def candidates(
        self, request: model_request.ModelRequest, excluded: frozenset[str]
    ) -> list[recovery.Candidate]:
        """The best runners that a stream may move to, best first.

        :param request: the request.
        :param excluded: names of runners that the stream must not move to.
        """
        leaving = self._leaving_data_centres()
        routes = self._router.ranked(request.query(excluded), MAX_CANDIDATES)
        return [
            recovery.Candidate(
                route.runner.name,
                route.runner.data_centre,
                route.runner.slots
                - self._router.own_in_flight(route.runner.name),
                route.runner.data_centre in leaving,
            )
            for route in routes
        ]

    def _leaving_data_centres(self) -> set[str]:
        """Data centres in which more than half of the runners are leaving."""
        leaving_flags: dict[str, list[bool]] = {}
        for runner in self._router.runners:
            leaving = self._router.is_leaving(runner.name)
            leaving_flags.setdefault(runner.data_centre, []).append(leaving)
        return {
            data_centre
            for data_centre, flags in leaving_flags.items()
            if 2 * sum(flags) > len(flags)
        }
