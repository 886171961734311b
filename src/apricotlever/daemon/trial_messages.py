"""Converts trial requests and decisions to and from peer messages.

A trial is a run of a suspect, a request that may have crashed a runner. The
judge, one entry VM for each pool, grants or refuses it.
"""

from concurrent import futures
import typing

from ..links import peer_pb2 as pb
from ..runners import quarantine

JUDGE_RETRY_S = 0.3


def encode_request(request: quarantine.TrialRequest) -> pb.TrialQuestion:
    """Encode a request for a trial."""
    return pb.TrialQuestion(
        fingerprint=request.fingerprint,
        request_id=request.request_id,
        places=[
            pb.TrialPlace(
                runner=candidate.runner, data_centre=candidate.data_centre
            )
            for candidate in request.candidates
        ],
    )


def decode_request(message: pb.TrialQuestion) -> quarantine.TrialRequest:
    """Decode a request for a trial."""
    return quarantine.TrialRequest(
        message.fingerprint,
        message.request_id,
        tuple(
            quarantine.TrialCandidate(place.runner, place.data_centre)
            for place in message.places
        ),
    )


def encode_trial_end(report: quarantine.TrialEnded) -> pb.TrialQuestion:
    """Encode the report that a trial has ended."""
    return pb.TrialQuestion(
        fingerprint=report.fingerprint,
        request_id=report.request_id,
        over=True,
    )


def encode_decision(decision: quarantine.TrialDecision) -> pb.TrialAnswer:
    """Encode a judge's decision."""
    match decision:
        case quarantine.RunAsTrial():
            return pb.TrialAnswer(
                verdict=pb.TrialAnswer.TRIAL_AT, runner=decision.runner
            )
        case quarantine.RetryLater():
            return pb.TrialAnswer(
                verdict=pb.TrialAnswer.TRIAL_HOLD,
                retry_after_s=decision.retry_after_s,
            )
        case quarantine.RejectRequest():
            return pb.TrialAnswer(
                verdict=pb.TrialAnswer.TRIAL_REFUSED,
                retry_after_s=decision.retry_after_s,
            )
    return pb.TrialAnswer(verdict=pb.TrialAnswer.TRIAL_FREE)


def complete_with_decision(
    future: "futures.Future[typing.Any]", call: "futures.Future[typing.Any]"
) -> None:
    """Complete a future with the decision in a judge's reply.

    When the call to the judge fails, the request has to be retried later; a
    suspect must not run without a judge. Two VMs that each took themselves
    for the judge would let it crash one runner each.

    :param future: the future to complete.
    :param call: the call to the judge, which has ended.
    """
    if call.exception() is not None:
        future.set_result(quarantine.RetryLater(JUDGE_RETRY_S))
        return
    reply = call.result()
    decisions = {
        pb.TrialAnswer.TRIAL_FREE: quarantine.RunNormally(),
        pb.TrialAnswer.TRIAL_AT: quarantine.RunAsTrial(reply.runner),
        pb.TrialAnswer.TRIAL_HOLD: quarantine.RetryLater(reply.retry_after_s),
        pb.TrialAnswer.TRIAL_REFUSED: quarantine.RejectRequest(
            reply.retry_after_s
        ),
    }
    future.set_result(decisions[reply.verdict])
