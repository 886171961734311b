"""Finds a runner for an attempt: the desk's choice, or a judge's trial."""

import time
import typing

from .. import refusals
from ..runners import model as runners
from ..runners import quarantine

from . import context as contexts
from . import fleet
from . import messages

DispatchOf = typing.Callable[[str, bool], messages.Dispatch]
RefusalOf = typing.Callable[
    [refusals.RefusalKind, str, float | None], refusals.Refusal
]


class Placed:
    """Where an attempt goes.

    :param route: the runner and what is expected of it.
    :param on_trial: whether a judge chose it for a suspect.
    """

    __slots__ = ("route", "on_trial")

    def __init__(self, route: runners.Route, on_trial: bool) -> None:
        self.route = route
        self.on_trial = on_trial


class Placing:
    """Places the attempts of one request.

    :param context: the daemon's tasks.
    :param deadline: of the request, on this VM's clock.
    :param refusal: a refusal that tells the truth about this request.
    """

    __slots__ = ("_context", "_deadline", "_refusal")

    def __init__(
        self,
        context: contexts.Context,
        deadline: float,
        refusal: RefusalOf,
    ) -> None:
        self._context = context
        self._deadline = deadline
        self._refusal = refusal

    def place(self, dispatch: DispatchOf, only: str = "") -> Placed:
        """Ask the desk, and the judge if the request is a suspect.

        :param dispatch: makes the question to the desk from the runner
            that is wanted and whether that is a trial.
        :param only: the runner wanted, or empty.
        :raises Refusal: when there is no runner, or none is allowed.
        """
        on_trial = False
        while True:
            answer = self._asked(dispatch(only, on_trial))
            if isinstance(answer, runners.Route):
                return Placed(answer, on_trial)
            question = fleet.AskJudge(answer.pool, answer.question)
            asked = self._context.fleet.ask(question)
            only, on_trial = self._obey(self._context.answer_of(asked))

    def _asked(
        self, dispatch: messages.Dispatch
    ) -> runners.Route | messages.TrialWanted:
        try:
            return self._context.answer_of(self._context.desk.ask(dispatch))
        except refusals.Refusal as refusal:
            raise self._refusal(
                refusal.kind, refusal.message, refusal.retry_after_s
            ) from refusal

    def _obey(self, verdict: quarantine.TrialDecision) -> tuple[str, bool]:
        """What a judge's verdict means for the next question to the desk."""
        if isinstance(verdict, quarantine.RejectRequest):
            raise self._refusal(
                refusals.QUARANTINED,
                "requests like this one crashed the runners they ran on",
                verdict.retry_after_s,
            )
        if isinstance(verdict, quarantine.RunAsTrial):
            return verdict.runner, True
        if isinstance(verdict, quarantine.RunNormally):
            return "", True
        if self._deadline - self._context.clock.now() < verdict.retry_after_s:
            raise self._refusal(
                refusals.QUARANTINED,
                "a like request is being tried elsewhere",
                verdict.retry_after_s,
            )
        time.sleep(verdict.retry_after_s)
        return "", False
