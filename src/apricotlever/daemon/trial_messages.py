"""Questions to the judge of a pool, as messages between entry VMs."""

from concurrent import futures
import typing

from ..links import peer_pb2 as pb
from ..runners import quarantine

JUDGE_RETRY_S = 0.3


def question_message(question: quarantine.TrialRequest) -> pb.TrialQuestion:
    """A question about a suspect as a message."""
    return pb.TrialQuestion(
        fingerprint=question.fingerprint,
        request_id=question.request_id,
        places=[
            pb.TrialPlace(runner=place.runner, data_centre=place.data_centre)
            for place in question.candidates
        ],
    )


def question_of(message: pb.TrialQuestion) -> quarantine.TrialRequest:
    """The question in a message."""
    return quarantine.TrialRequest(
        message.fingerprint,
        message.request_id,
        tuple(
            quarantine.TrialCandidate(place.runner, place.data_centre)
            for place in message.places
        ),
    )


def over_message(report: quarantine.TrialEnded) -> pb.TrialQuestion:
    """The end of a trial as a message."""
    return pb.TrialQuestion(
        fingerprint=report.fingerprint,
        request_id=report.request_id,
        over=True,
    )


def verdict_message(verdict: quarantine.TrialDecision) -> pb.TrialAnswer:
    """A judge's decision as a message."""
    match verdict:
        case quarantine.RunAsTrial():
            return pb.TrialAnswer(
                verdict=pb.TrialAnswer.TRIAL_AT, runner=verdict.runner
            )
        case quarantine.RetryLater():
            return pb.TrialAnswer(
                verdict=pb.TrialAnswer.TRIAL_HOLD,
                retry_after_s=verdict.retry_after_s,
            )
        case quarantine.RejectRequest():
            return pb.TrialAnswer(
                verdict=pb.TrialAnswer.TRIAL_REFUSED,
                retry_after_s=verdict.retry_after_s,
            )
    return pb.TrialAnswer(verdict=pb.TrialAnswer.TRIAL_FREE)


def decide(
    future: "futures.Future[typing.Any]", call: "futures.Future[typing.Any]"
) -> None:
    """Turn a judge's answer into a decision.

    A judge that can't be reached must not let a suspect run: two VMs that
    each think they judge would let it crash one runner each.
    """
    if call.exception() is not None:
        future.set_result(quarantine.RetryLater(JUDGE_RETRY_S))
        return
    answer = call.result()
    verdicts = {
        pb.TrialAnswer.TRIAL_FREE: quarantine.RunNormally(),
        pb.TrialAnswer.TRIAL_AT: quarantine.RunAsTrial(answer.runner),
        pb.TrialAnswer.TRIAL_HOLD: quarantine.RetryLater(answer.retry_after_s),
        pb.TrialAnswer.TRIAL_REFUSED: quarantine.RejectRequest(
            answer.retry_after_s
        ),
    }
    future.set_result(verdicts[answer.verdict])
