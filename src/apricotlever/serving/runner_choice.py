"""Chooses among the runners of a service, by its roll-out and their health."""

from .. import logs
from ..roll_outs import controller as roll_outs_controller
from ..roll_outs import model as roll_outs_model
from ..runners import model as models
from ..runners import outlier_detector
from ..runners import routing
from ..runners import silence_detector

from . import call_sampling
from . import runners


class RunnerChoice:
    """Chooses the runner of a call.

    :param router: ranks the runners.
    :param roll_outs: determines the roles of runners in roll-outs.
    :param silence: detects the runners that send no bytes.
    :param outliers: detects the runners that fail more than others.
    """

    __slots__ = ("_outliers", "_roll_outs", "_router", "_silence")

    def __init__(
        self,
        router: routing.Router,
        roll_outs: roll_outs_controller.RollOutController,
        silence: silence_detector.SilenceDetector,
        outliers: outlier_detector.OutlierDetector,
    ) -> None:
        self._router = router
        self._roll_outs = roll_outs
        self._silence = silence
        self._outliers = outliers

    def choose(
        self, query: models.Query, unavailable: frozenset[str]
    ) -> str | None:
        """Choose a runner for a query.

        During a roll-out of the service, a share of the calls goes to runners
        of the new version if one of them is available. A stream is continued
        where its origin says, whatever the roll-out.

        :param unavailable: runners that take no call by their own word.
        :returns: the runner's ID; None if none is available.
        """
        service = query.pool
        repeated = bool(query.excluded)
        begins = not isinstance(query, models.ContinuationQuery)
        if begins and self._roll_outs.should_use_new_version(
            service, query.entry, repeated
        ):
            query.pool = call_sampling.pool_name(
                service, roll_outs_model.RunnerRole.CANARY
            )
            choice = self._choose_healthy(query, unavailable)
            if not isinstance(choice, models.NoRunner):
                return choice.runner.name
            query.pool = service
        choice = self._choose_healthy(query, unavailable)
        if isinstance(choice, models.NoRunner):
            logs.event(
                "no_runner", service=query.pool, reason=choice.reason.value
            )
            return None
        return choice.runner.name

    def takes_regular_calls(self, runner: runners.Runner) -> bool:
        """Whether a runner takes its service's regular calls.

        In a roll-out, runners of the new version do so only at its end.
        """
        return (
            self._roll_outs.role(runner) is roll_outs_model.RunnerRole.SERVING
        )

    def routing_pool(self, runner: runners.Runner) -> str:
        """The routing pool of a runner; "" if it takes no calls that begin.

        In a roll-out each version has its own pool, so that prompts are not
        placed across versions.
        """
        return call_sampling.pool_name(
            runner.service, self._roll_outs.role(runner)
        )

    def _choose_healthy(
        self, query: models.Query, unavailable: frozenset[str]
    ) -> models.Route | models.NoRunner:
        """Choose a runner from the query's pool, preferring healthy ones.

        A runner that is silent or ejected as an outlier is chosen only if no
        other one is available. One whose room is reserved for streams that go
        on comes before these.
        """
        tried = query.excluded
        faulty = self._silence.silent | self._outliers.ejected
        reserved = self._router.reserved(query)
        choice: models.Route | models.NoRunner | None = None
        for avoided in dict.fromkeys((faulty | reserved, faulty, frozenset())):
            query.excluded = tried | unavailable | avoided
            choice = self._router.choose(query)
            if not isinstance(choice, models.NoRunner):
                break
        query.excluded = tried
        assert choice is not None
        return choice


def routing_view(runner: runners.Runner, pool: str) -> models.Runner:
    """A runner as the router knows it.

    :param pool: the runner's routing pool.
    """
    return models.Runner(
        runner.runner_id,
        runner.address,
        runner.data_centre,
        pool,
        "reclaimable" if runner.reclaimable else "on_demand",
        "",
        1.0,
        runner.concurrency,
        runner.origin,
    )
