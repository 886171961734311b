"""What the desk and the other entry VMs hear of an attempt that ended."""

import time

from .. import refusals
from ..contracts import retry_policy
from ..runners import crashes
from ..runners import quarantine

from . import context as contexts
from . import fleet
from . import messages
from . import placing

#: How long a call to another VM waits for the news of a death, in seconds. It
#: was 3 to 30 ms on one machine with all its cores busy.
DEATH_NEWS_S = 0.15


def ask_retry(
    context: contexts.Context,
    question: messages.MayRetry,
    refusal: placing.RefusalOf,
) -> retry_policy.Retry:
    """Ask the desk for another attempt.

    :param context: the daemon's tasks.
    :param question: what failed and what was tried.
    :param refusal: a refusal that tells the truth about the request.
    :returns: what the next attempt has to avoid.
    :raises Refusal: when there is no further attempt.
    """
    answer = context.answer_of(context.desk.ask(question))
    if isinstance(answer, retry_policy.NoRetry):
        raise refusal(
            refusals.GAVE_UP,
            f"the upstream failed and is not tried again: "
            f"{answer.reason.value}",
            1.0,
        )
    return answer


def spread(
    context: contexts.Context, report: crashes.Report | None, wait: bool
) -> None:
    """Tell the other entry VMs of a death or a survival.

    :param context: the daemon's tasks.
    :param report: what the desk made of the attempt; None is not told.
    :param wait: whether to return only when the others know. A caller that
        gets its answer sends the request again, perhaps to another entry
        VM, at once, and that VM must know by then.
    :raises Refusal: when this VM is stopping.
    """
    if report is None:
        return
    asked = context.fleet.ask(fleet.SpreadCrash(report))
    if wait:
        context.answer_of(asked)


def await_death_news() -> None:
    """Wait until the VMs whose requests died with a runner have told of it.

    A runner that refuses a connection has just died, and one of the requests
    that it had, perhaps a copy of this one, may be the cause. Sent on at
    once, before the news of that comes, the copy takes a third runner with
    it: three copies sent to three VMs within 30 ms did so in 4 of 50 runs.
    """
    time.sleep(DEATH_NEWS_S)


def end_trial(
    context: contexts.Context, pool: str, fingerprint: str, request_id: str
) -> None:
    """Tell the judge that the run that it allowed is over.

    :param context: the daemon's tasks.
    :param pool: the pool that it judges for.
    :param fingerprint: of the suspect.
    :param request_id: of the request that was the trial.
    """
    over = quarantine.TrialEnded(fingerprint, request_id)
    context.fleet.tell(fleet.TrialDone(pool, over))
