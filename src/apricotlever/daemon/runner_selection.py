"""Selects the runner of an attempt; a suspect request needs a trial.

A suspect is a request that may have crashed a runner. It may run only as a
trial, which the judge, one entry VM for each pool, grants at one runner.
"""

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
    :param on_trial: whether a judge allowed the attempt, as a trial or
        because the request is no longer suspect there.
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
        self, dispatch: DispatchFactory, required_runner: str = ""
    ) -> RunnerSelection:
        """Select a runner, and wait for a trial if the request is suspect.

        :param dispatch: makes the message to the dispatcher from the name of
            the required runner and whether the run is a trial.
        :param required_runner: name of the required runner; empty for any.
        :returns: the selected runner.
        :raises Refusal: when no runner is available or allowed.
        """
        on_trial = False
        while True:
            reply = self._ask_dispatcher(dispatch(required_runner, on_trial))
            if isinstance(reply, runners.Route):
                return RunnerSelection(reply, on_trial)
            message = fleet_link.AskJudge(reply.pool, reply.trial_request)
            future = self._context.fleet.ask(message)
            required_runner, on_trial = self._apply_decision(
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

    def _apply_decision(
        self, decision: quarantine.TrialDecision
    ) -> tuple[str, bool]:
        """Convert a judge's decision to arguments of the next dispatch.

        :returns: the name of the required runner, empty for any, and whether
            the judge allowed the run. The dispatcher then sends the request
            even if this VM still holds it for a suspect.
        :raises Refusal: when the request may not run before its deadline.
        """
        if isinstance(decision, quarantine.RejectRequest):
            raise self._refusal(
                refusals.QUARANTINED,
                "requests like this one crashed the runners they ran on",
                decision.retry_after_s,
            )
        if isinstance(decision, quarantine.RunAsTrial):
            return decision.runner, True
        if isinstance(decision, quarantine.RunNormally):
            return "", True
        if self._deadline - self._context.clock.now() < decision.retry_after_s:
            raise self._refusal(
                refusals.QUARANTINED,
                "a similar request is on trial at another runner",
                decision.retry_after_s,
            )
        time.sleep(decision.retry_after_s)
        return "", False
