"""Which runners may take a call of this VM now, and which one does."""

import typing

from ..runners import model as models
from ..runners import outlier_detector
from ..runners import routing
from ..runners import silence_detector

from . import draining_runners
from . import runner_choice
from . import runner_directory as directories
from . import runner_statements
from . import runners


class RunnerSelection:
    """Selects among the known runners by all that keeps calls from one.

    :param directory: the known runners.
    :param router: knows their load, and the origins of their streams.
    :param choice: chooses among those that take calls.
    :param statements: what runners say of themselves.
    :param silence: detects the runners that send no bytes.
    :param outliers: detects the runners that fail more than others.
    :param draining: the runners that have begun to leave of late.
    :param in_flight: tells this VM's calls in progress by runner.
    """

    __slots__ = (
        "_choice",
        "_directory",
        "_draining",
        "_in_flight",
        "_outliers",
        "_router",
        "_silence",
        "_statements",
    )

    def __init__(
        self,
        directory: directories.RunnerDirectory,
        router: routing.Router,
        choice: runner_choice.RunnerChoice,
        statements: runner_statements.RunnerStatements,
        silence: silence_detector.SilenceDetector,
        outliers: outlier_detector.OutlierDetector,
        draining: draining_runners.DrainingRunners,
        in_flight: typing.Callable[[], typing.Mapping[str, int]],
    ) -> None:
        self._directory = directory
        self._router = router
        self._choice = choice
        self._statements = statements
        self._silence = silence
        self._outliers = outliers
        self._draining = draining
        self._in_flight = in_flight

    def choose(
        self, query: models.Query, full: frozenset[str] = frozenset()
    ) -> runners.Runner | None:
        """Choose a runner for a query; None if none is available.

        :param full: limited runners that have no room for the call, besides
            those that take no call of this VM now by their own word.
        """
        unavailable = full | self._statements.unavailable
        name = self._choice.choose(query, unavailable)
        if name is not None:
            return self._directory.get(name)
        if not isinstance(query, models.ContinuationQuery):
            return None
        draining = self._draining.usable(
            self._directory.runners, query, unavailable
        )
        in_flight = self._in_flight()
        return min(
            draining,
            key=lambda runner: in_flight.get(runner.runner_id, 0),
            default=None,
        )

    def granted(self, query: models.Query, name: str) -> runners.Runner | None:
        """A runner whose slot was granted; None if it must not be used."""
        runner = self._directory.get(name)
        if (
            runner is None
            or runner.leaving
            or name in query.excluded
            or name in self.avoided(query.pool)
            or name not in self._router.names(query.group)
        ):
            return None
        return runner

    def available(
        self, service: str, origin: models.StreamOrigin | None
    ) -> list[runners.Runner]:
        """The runners that may take a call to a service, if they have room.

        :param origin: of the stream that the call continues; None if the call
            has no part of a response yet.
        """
        available = self._directory.available_runners(service)
        if origin is None:
            return available
        names = self._router.names(origin)
        return [each for each in available if each.runner_id in names]

    def avoided(self, service: str) -> typing.AbstractSet[str]:
        """The runners of a service that get no call of this VM now.

        Unlike in :meth:`choose`, runners that are silent or fail more than
        others count, even if no other runner is available.
        """
        avoided = (
            self._statements.unavailable
            | self._silence.silent
            | self._outliers.ejected
        )
        if avoided:
            avoided &= {
                runner.runner_id
                for runner in self._directory.available_runners(service)
            }
        return avoided.union(self._router.blocked(service))
