"""Sends one arrival as a client would, and records the result."""

import itertools
import time
import typing

from tests.support import answers
from tests.support import caller

from . import _load_workload

KEY_PREFIX = "demo-"
RETRY_S = 0.2
#: Seconds without data after which a connection is given up. Longer than any
#: service class of the examples lets a request queue.
GAP_TIMEOUT_S = 30.0
WHOLE = "whole"
REFUSED = "refused"
UNKNOWN = "unknown"
LOST = "lost"
WRONG = "wrong"
MADE = "made"
MINTED = "minted"
NO_KEY_MINTED_STATUS = 503
#: How long a call that is safe to repeat is retried, in seconds, when it got
#: no answer or its answer asked for a retry.
SAFE_RETRY_S = 20.0


class RequestSample:
    """What a client measured for one arrival.

    ``first_token_s`` and ``whole_s`` are in seconds since the intended time
    of the arrival.

    :param answer: the answer to the last attempt.
    :param lag_s: how late the load generator sent the first attempt.
    :param tries: the number of attempts.
    :param started_s: when the last attempt was sent, in seconds since the
        intended time of the arrival.
    """

    __slots__ = (
        "arrival",
        "outcome",
        "lag_s",
        "tries",
        "answer",
        "first_token_s",
        "whole_s",
    )

    def __init__(
        self,
        arrival: _load_workload.Arrival,
        answer: answers.Answer,
        lag_s: float,
        tries: int,
        started_s: float,
    ) -> None:
        self.arrival = arrival
        self.answer = answer
        self.lag_s = lag_s
        self.tries = tries
        self.outcome = _classify_outcome(answer)
        first = answer.first_token_s
        self.first_token_s = None if first is None else started_s + first
        self.whole_s = started_s + answer.total_s

    def as_record(self) -> dict[str, typing.Any]:
        """The sample as a JSON object for the run file."""
        arrival = self.arrival
        answer = self.answer
        gaps = [round(gap * 1e6) for gap in answer.token_gaps_s]
        return {
            "record": "request",
            "number": arrival.number,
            "at_s": round(arrival.at_s, 6),
            "work": arrival.work,
            "customer": arrival.customer,
            "class": arrival.service_class,
            "entry": arrival.entry,
            "request": answer.request_id,
            "operation": arrival.operation,
            "outcome": self.outcome,
            "status": answer.status,
            "executed": answer.executed,
            "error": None if answer.done else str(answer.error)[:400],
            "problem": answer.problem[:400] if arrival.is_stream else "",
            "tokens": len(answer.tokens),
            "doubled_tokens": len(answer.event_ids)
            - len(set(answer.event_ids)),
            "first_token_s": self.first_token_s,
            "whole_s": self.whole_s,
            "gaps_us": gaps,
            "lag_s": round(self.lag_s, 6),
            "tries": self.tries,
            "moves": answer.redirects,
            "breaks": answer.broken_connections,
        }


class CustomerClients:
    """Keeps one client for each customer, all with the same entry VMs.

    :param entries: addresses of some entry VMs.
    :param patience_s: how long a refused request is retried at the entry VMs
        in turn, in seconds.
    """

    def __init__(self, entries: list[str], patience_s: float) -> None:
        self._entries = entries
        self._patience_s = patience_s
        self._clients: dict[str, caller.Caller] = {}

    def send(
        self, arrival: _load_workload.Arrival, due_at: float
    ) -> RequestSample:
        """Send a request and retry it as long as that is allowed.

        :param due_at: the intended time of the arrival on the monotonic
            clock.
        """
        lag_s = time.monotonic() - due_at
        client = self._client_for(arrival.customer)
        key = f"key-{arrival.operation}" if arrival.key == MADE else ""
        address = ""
        for tries in itertools.count(1):
            started_s = time.monotonic() - due_at
            if arrival.key == MINTED and not key:
                address = client.next_address()
                key = _mint_key(client, address)
            answer = _send_once(client, arrival, key, address)
            # Only the first attempt goes to the entry VM that minted the
            # key: the others recognise the key as well.
            address = ""
            if time.monotonic() - due_at > self.retry_window_s(
                arrival, answer
            ):
                return RequestSample(arrival, answer, lag_s, tries, started_s)
            time.sleep(RETRY_S)
        raise AssertionError("unreachable")

    def _client_for(self, customer: str) -> caller.Caller:
        new_client = caller.Caller(
            self._entries, KEY_PREFIX + customer, GAP_TIMEOUT_S
        )
        return self._clients.setdefault(customer, new_client)

    def retry_window_s(
        self, arrival: _load_workload.Arrival, answer: answers.Answer
    ) -> float:
        """How long an arrival may be retried, counted from its intended time.

        :returns: seconds; 0 if the arrival must not be retried.
        """
        if answer.done:
            return 0.0
        if answer.refused:
            return self._patience_s
        # A call with an idempotency key is safe to repeat, even after an
        # answer that could not tell whether the call had been executed.
        is_safe = arrival.key or arrival.method == "GET"
        may_retry = not answer.status or answer.retry_after_s
        return SAFE_RETRY_S if is_safe and may_retry else 0.0


def _mint_key(client: caller.Caller, address: str) -> str:
    """Get a key from an entry VM; empty if the entry VM minted none."""
    try:
        return client.mint_keys(1, address)[0]
    except (AssertionError, *caller.CONNECTION_ERRORS):
        return ""


def _send_once(
    client: caller.Caller,
    arrival: _load_workload.Arrival,
    key: str,
    address: str,
) -> answers.Answer:
    if arrival.is_stream:
        assert arrival.body is not None
        return client.stream(arrival.path, arrival.body)
    if arrival.key == MINTED and not key:
        # Only the request for a key was sent, so the call was not executed.
        return _key_refusal()
    return client.call_service(
        arrival.entry,
        arrival.method,
        arrival.path,
        arrival.body,
        key,
        address,
    )


def _key_refusal() -> answers.Answer:
    answer = answers.Answer()
    answer.status = NO_KEY_MINTED_STATUS
    answer.executed = "no"
    answer.error = "no key was minted"
    return answer


def _classify_outcome(answer: answers.Answer) -> str:
    if answer.done:
        return WRONG if answer.problem else WHOLE
    if answer.refused:
        return REFUSED
    if answer.executed == "unknown":
        return UNKNOWN
    return LOST
