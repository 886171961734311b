"""Selects the runner of an attempt, with a trial for suspect requests."""

import time
import typing

from .. import refusals
from ..runners import model as runners
from ..runners import quarantine

from . import context as contexts
from . import dispatcher_messages
from . import fleet_link

DispatchFactory = typing.Callable[[str, bool], dispatcher_messages.Dispatch]
RefusalFactory = typing.Callable[
    [refusals.RefusalKind, str, float | None], refusals.Refusal
]


class RunnerSelection:
    """The runner that was selected for an attempt.

    :param route: the runner and its expected performance.
    :param on_trial: whether the attempt is a suspect's run that a judge
        allowed.
    """

    __slots__ = ("route", "on_trial")

    def __init__(self, route: runners.Route, on_trial: bool) -> None:
        self.route = route
        self.on_trial = on_trial


class RunnerSelector:
    """Selects the runners of one request's attempts.

    :param context: the daemon's tasks.
    :param deadline: the request's deadline, on this VM's clock.
    :param refusal: makes a refusal that states whether the request was
        executed.
    """

    __slots__ = ("_context", "_deadline", "_refusal")

    def __init__(
        self,
        context: contexts.Context,
        deadline: float,
        refusal: RefusalFactory,
    ) -> None:
        self._context = context
        self._deadline = deadline
        self._refusal = refusal

    def select(
        self, dispatch: DispatchFactory, only: str = ""
    ) -> RunnerSelection:
        """Ask the dispatcher, and the judge if the request is a suspect.

        :param dispatch: makes the message to the dispatcher from the name of
            the required runner and whether the run is a trial.
        :param only: name of the required runner; empty for any.
        :returns: the selected runner.
        :raises Refusal: when no runner is available or allowed.
        """
        on_trial = False
        while True:
            answer = self._ask_dispatcher(dispatch(only, on_trial))
            if isinstance(answer, runners.Route):
                return RunnerSelection(answer, on_trial)
            question = fleet_link.AskJudge(answer.pool, answer.trial_request)
            future = self._context.fleet.ask(question)
            only, on_trial = self._apply_verdict(
                self._context.wait_for_reply(future)
            )

    def _ask_dispatcher(
        self, dispatch: dispatcher_messages.Dispatch
    ) -> runners.Route | dispatcher_messages.TrialRequired:
        try:
            return self._context.wait_for_reply(
                self._context.dispatcher.ask(dispatch)
            )
        except refusals.Refusal as refusal:
            raise self._refusal(
                refusal.kind, refusal.message, refusal.retry_after_s
            ) from refusal

    def _apply_verdict(
        self, verdict: quarantine.TrialDecision
    ) -> tuple[str, bool]:
        """Turn a judge's verdict into the next message to the dispatcher.

        :returns: the name of the required runner, empty for any, and whether
            the run is a trial.
        :raises Refusal: when the request may not run before its deadline.
        """
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
                "a similar request is on trial at another runner",
                verdict.retry_after_s,
            )
        time.sleep(verdict.retry_after_s)
        return "", False
