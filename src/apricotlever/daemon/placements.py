"""Which request is at which runner, and what becomes of it there.

Part of the desk's state: a class without I/O, which the desk drives.
"""

from .. import clock as clocks
from ..requests import evacuation
from ..requests import export_time_estimator
from ..requests import recovery
from ..runners import crashes
from ..runners import model as runners
from ..runners import routing

from . import flights
from . import messages

#: Recoveries of a stream are bounded by its deadline; this only stops a
#: request that no runner finishes from trying for ever.
MOST_ATTEMPTS_AFTER_DEATHS = 12
CANDIDATES = 8


class _Placed:
    """A request at a runner.

    :param moving_to: the runner that its stream is on the way to, or empty.
    """

    __slots__ = ("dispatch", "runner", "moving_to")

    def __init__(
        self, dispatch: messages.Dispatch, runner: runners.Runner
    ) -> None:
        self.dispatch = dispatch
        self.runner = runner
        self.moving_to = ""


class Placements:
    """The requests of one entry VM at their runners.

    :param router: knows the runners.
    :param vm: this VM's name, for reports of deaths.
    """

    __slots__ = (
        "_clock",
        "_router",
        "_vm",
        "_placed",
        "_reported",
        "_taken_at",
        "_export_times",
    )

    def __init__(
        self, clock: clocks.Clock, router: routing.Router, vm: str
    ) -> None:
        self._clock = clock
        self._router = router
        self._vm = vm
        self._placed: dict[str, _Placed] = {}
        self._reported: dict[str, float] = {}
        self._taken_at: dict[str, float] = {}
        self._export_times = export_time_estimator.ExportTimeEstimator()

    def __len__(self) -> int:
        return len(self._placed)

    def place(
        self, dispatch: messages.Dispatch, runner: runners.Runner
    ) -> None:
        """A request goes to a runner."""
        self._placed[dispatch.request_id] = _Placed(dispatch, runner)

    def runner_of(self, request_id: str) -> runners.Runner | None:
        """Where a request is, or None."""
        placed = self._placed.get(request_id)
        return placed.runner if placed else None

    def dispatch_of(self, request_id: str) -> messages.Dispatch | None:
        """How a request was sent, or None."""
        placed = self._placed.get(request_id)
        return placed.dispatch if placed else None

    def left(self, request_id: str) -> None:
        """A request is no longer at its runner."""
        self._placed.pop(request_id, None)

    def taken_in(self, runner: str, left_s: float) -> None:
        """A runner will be taken.

        :param left_s: seconds until then.
        """
        self._taken_at[runner] = self._clock.now() + left_s

    def gone(self, runner: str) -> None:
        """A runner has ended."""
        self._taken_at.pop(runner, None)

    def moved(self, tokens: int, seconds: float | None) -> None:
        """A stream's state was moved, or not, if it took None."""
        if seconds is None:
            self._export_times.observe_timeout()
        else:
            self._export_times.observe(tokens, seconds)

    def crashed(
        self, runner: runners.Runner
    ) -> crashes.CrashObservation | None:
        """Put a runner's death on record, once for all its requests."""
        now = self._clock.now()
        told_at = self._reported.get(runner.name, float("-inf"))
        charges = tuple(
            crashes.SuspectRequest(
                placed.dispatch.fingerprint,
                placed.dispatch.request_id,
                placed.dispatch.attempt,
                placed.dispatch.on_trial,
            )
            for placed in self._placed.values()
            if placed.runner.name == runner.name
        )
        noticed = self._router.is_leaving(runner.name)
        self._router.runner_crashed(runner.name)
        report = crashes.CrashObservation(
            self._vm, runner.name, runner.data_centre, 0.0, noticed, charges
        )
        if now - told_at < crashes.SAME_CRASH_WINDOW_S:
            return None
        self._reported[runner.name] = now
        return report

    def evacuate(self) -> None:
        """Decide about every stream on a runner that will be taken.

        All streams of a wave are decided together, so that they do not meet
        at the one runner that looked emptiest to each of them.
        """
        if not self._taken_at:
            return
        placed = [
            each
            for each in self._placed.values()
            if each.runner.name in self._taken_at
            and each.dispatch.flight is not None
        ]
        candidates: dict[str, list[recovery.Candidate]] = {}
        situations = []
        for each in placed:
            flight = each.dispatch.flight
            assert flight is not None
            pool = flight.entry.pool
            if pool not in candidates:
                candidates[pool] = self.candidates(flight, frozenset())
            situation = self.situation(
                flight,
                each.runner,
                recovery.RecoveryCause.NOTICE,
                candidates[pool],
            )
            situation.moving_to = each.moving_to
            situations.append(situation)
        for move in evacuation.plan_evacuation(situations):
            self._move(self._placed[move.request_id], move.decision)

    def _move(
        self, placed: _Placed, decision: recovery.RecoveryDecision
    ) -> None:
        if not isinstance(decision, (recovery.ExportTo, recovery.Replay)):
            return
        flight = placed.dispatch.flight
        assert flight is not None
        if flight.decide(placed.runner.name, decision):
            placed.moving_to = decision.runner

    def situation(
        self,
        flight: flights.Flight,
        runner: runners.Runner,
        cause: recovery.RecoveryCause,
        candidates: list[recovery.Candidate],
        failures: int = 0,
        same_runner: int = 0,
    ) -> recovery.AffectedStream:
        sent = flight.transcript.tokens()
        tokens = flight.request.prompt_tokens + len(sent)
        left = flight.request.max_tokens - len(sent)
        taken_at = self._taken_at.get(runner.name, float("inf"))
        return recovery.AffectedStream(
            flight.request_id,
            cause,
            runner.name,
            flight.service_class.priority,
            flight.request.prompt_tokens,
            sent,
            left * flight.service_class.between_tokens_s,
            taken_at - self._clock.now(),
            self._export_times.estimate_s(tokens),
            flight.left_s,
            failures,
            MOST_ATTEMPTS_AFTER_DEATHS,
            same_runner,
            "",
            candidates,
        )

    def candidates(
        self, flight: flights.Flight, excluded: frozenset[str]
    ) -> list[recovery.Candidate]:
        doomed = self._doomed()
        routes = self._router.ranked(flight.query(excluded), CANDIDATES)
        return [
            recovery.Candidate(
                route.runner.name,
                route.runner.data_centre,
                route.runner.slots
                - self._router.own_in_flight(route.runner.name),
                route.runner.data_centre in doomed,
            )
            for route in routes
        ]

    def _doomed(self) -> set[str]:
        """Data centres that are losing most of their runners."""
        known: dict[str, list[bool]] = {}
        for runner in self._router.runners:
            leaving = self._router.is_leaving(runner.name)
            known.setdefault(runner.data_centre, []).append(leaving)
        return {
            data_centre
            for data_centre, leaving in known.items()
            if 2 * sum(leaving) > len(leaving)
        }
