"""Finds the calls that can't begin before their deadline at any runner."""

from .. import logs
from ..runners import model as models
from ..runners import routing

from . import modes
from . import prompt_meters
from . import runners

#: Part of a call's time that a prompt of the same urgency must have waited
#: before a call is refused for lack of time. The expected time rests on a
#: model of the runners that may be too slow, in particular after a start.
WAIT_EVIDENCE_SHARE = 0.5


class StartTimes:
    """Compares when calls are expected to begin with their deadlines.

    :param prompts: knows the prompts of this VM that wait.
    :param mode: the mode of the part ``priorities``.
    """

    __slots__ = ("_mode", "_prompts", "_router")

    def __init__(
        self,
        router: routing.Router,
        prompts: prompt_meters.PromptMeters,
        mode: modes.Mode,
    ) -> None:
        self._router = router
        self._prompts = prompts
        self._mode = mode

    def retry_after_s(
        self,
        request: str,
        query: models.Query,
        runner: runners.Runner,
        left_s: float,
    ) -> float | None:
        """When to repeat a call that must be refused for lack of time.

        In the mode ``observe``, calls that would be refused are only logged.

        :param request: the call's name in the log.
        :param runner: the runner chosen for the query.
        :param left_s: seconds until the call's deadline.
        :returns: seconds from now; None if the call is not to be refused.
        """
        if self._mode is modes.Mode.OFF:
            return None
        missing_s = self._missing_s(query, runner, left_s)
        if missing_s <= 0.0:
            return None
        logs.event(
            "request_without_time",
            request=request,
            service=runner.service,
            left_s=left_s,
            missing_s=missing_s,
            queue_level=query.priority,
            mode=self._mode.value,
        )
        return missing_s if self._mode is modes.Mode.ON else None

    def _missing_s(
        self, query: models.Query, runner: runners.Runner, left_s: float
    ) -> float:
        """By how much a call would begin too late at the best runner.

        :returns: seconds; 0 if the call can begin in time, or if too little is
            known to tell.
        """
        if not query.prompt_tokens:
            return 0.0
        if self._router.expected_first_token_s(runner.runner_id) <= left_s:
            return 0.0
        share = self._prompts.waiting_share(
            runner.service, query.priority, WAIT_EVIDENCE_SHARE * left_s
        )
        if share is None:
            return 0.0
        expected_s = self._router.best_first_token_s(query, share)
        return 0.0 if expected_s is None else max(0.0, expected_s - left_s)
