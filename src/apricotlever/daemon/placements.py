"""Tracks which request runs at which runner and plans evacuations.

Part of the dispatcher's state; does no I/O.
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

#: The deadline of a stream bounds its recoveries. This limit only keeps a
#: request that no runner can finish from being retried for ever.
MAX_ATTEMPTS_AFTER_CRASHES = 12
MAX_CANDIDATES = 8


class _Placement:
    """A request at a runner.

    ``moving_to`` names the runner that the stream is moving to; it is empty
    when the stream is not moving.

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
    :param vm: this VM's name, for crash reports.
    """

    __slots__ = (
        "_clock",
        "_router",
        "_vm",
        "_placements",
        "_reported_at",
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
        self._reported_at: dict[str, float] = {}
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
        """The runner that has a request, or None."""
        placement = self._placements.get(request_id)
        return placement.runner if placement else None

    def dispatch_of(
        self, request_id: str
    ) -> dispatcher_messages.Dispatch | None:
        """The message that placed a request, or None."""
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
        reported_at = self._reported_at.get(runner.name, float("-inf"))
        suspects = tuple(
            crashes.SuspectRequest(
                placement.dispatch.fingerprint,
                placement.dispatch.request_id,
                placement.dispatch.attempt,
                placement.dispatch.on_trial,
            )
            for placement in self._placements.values()
            if placement.runner.name == runner.name
        )
        noticed = self._router.is_leaving(runner.name)
        self._router.runner_crashed(runner.name)
        report = crashes.CrashObservation(
            self._vm, runner.name, runner.data_centre, 0.0, noticed, suspects
        )
        if now - reported_at < crashes.SAME_CRASH_WINDOW_S:
            return None
        self._reported_at[runner.name] = now
        return report

    def evacuate(self) -> None:
        """Decide about every stream on a runner that will be reclaimed.

        All streams are planned together. Planned one by one, they would all
        choose the runner with the most free slots.
        """
        if not self._reclaimed_at:
            return
        affected = [
            placement
            for placement in self._placements.values()
            if placement.runner.name in self._reclaimed_at
            and placement.dispatch.flight is not None
        ]
        candidates: dict[str, list[recovery.Candidate]] = {}
        situations = []
        for placement in affected:
            flight = placement.dispatch.flight
            assert flight is not None
            pool = flight.entry.pool
            if pool not in candidates:
                candidates[pool] = self.candidates(flight, frozenset())
            situation = self.situation(
                flight,
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
        flight = placement.dispatch.flight
        assert flight is not None
        if flight.decide(placement.runner.name, decision):
            placement.moving_to = decision.runner

    def situation(
        self,
        flight: model_request.ModelRequest,
        runner: runners.Runner,
        cause: recovery.RecoveryCause,
        candidates: list[recovery.Candidate],
        failures: int = 0,
        same_runner: int = 0,
    ) -> recovery.AffectedStream:
        """Describe a stream that needs a recovery decision.

        :param flight: the request.
        :param runner: the runner that has the stream.
        :param cause: why the stream needs a decision.
        :param candidates: the runners that it may move to.
        :param failures: how many attempts have failed.
        :param same_runner: how often in a row the stream was resumed at its
            runner without a new token.
        """
        sent = flight.transcript.tokens()
        tokens = flight.request.prompt_tokens + len(sent)
        left = flight.request.max_tokens - len(sent)
        reclaimed_at = self._reclaimed_at.get(runner.name, float("inf"))
        return recovery.AffectedStream(
            flight.request_id,
            cause,
            runner.name,
            flight.service_class.priority,
            flight.request.prompt_tokens,
            sent,
            left * flight.service_class.between_tokens_s,
            reclaimed_at - self._clock.now(),
            self._export_times.estimate_s(tokens),
            flight.left_s,
            failures,
            MAX_ATTEMPTS_AFTER_CRASHES,
            same_runner,
            "",
            candidates,
        )

    def candidates(
        self, flight: model_request.ModelRequest, excluded: frozenset[str]
    ) -> list[recovery.Candidate]:
        """The best runners that a stream may move to, best first.

        :param flight: the request.
        :param excluded: names of runners that the stream must not move to.
        """
        being_lost = self._data_centres_being_lost()
        routes = self._router.ranked(flight.query(excluded), MAX_CANDIDATES)
        return [
            recovery.Candidate(
                route.runner.name,
                route.runner.data_centre,
                route.runner.slots
                - self._router.own_in_flight(route.runner.name),
                route.runner.data_centre in being_lost,
            )
            for route in routes
        ]

    def _data_centres_being_lost(self) -> set[str]:
        """Data centres more than half of whose known runners are leaving."""
        known: dict[str, list[bool]] = {}
        for runner in self._router.runners:
            leaving = self._router.is_leaving(runner.name)
            known.setdefault(runner.data_centre, []).append(leaving)
        return {
            data_centre
            for data_centre, leaving in known.items()
            if 2 * sum(leaving) > len(leaving)
        }
