"""Sends one arrival as a caller would, and notes what came of it."""

import itertools
import time
import typing

from tests.support import answers
from tests.support import caller

from . import _load_work

KEY_PREFIX = "demo-"
RETRY_S = 0.2
#: Longer than any class of the examples lets a request queue.
GAP_TIMEOUT_S = 30.0
WHOLE = "whole"
REFUSED = "refused"
UNKNOWN = "unknown"
LOST = "lost"
WRONG = "wrong"
MADE = "made"
MINTED = "minted"
NO_KEY_STATUS = 503
#: How long a call that got no answer at all is sent again with its key.
UNHEARD_S = 20.0


class Sample:
    """What a caller saw of one arrival; times count from its intended time.

    :param lag_s: how late the load generator itself was.
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
        arrival: _load_work.Arrival,
        answer: answers.Answer,
        lag_s: float,
        tries: int,
        began_s: float,
    ) -> None:
        self.arrival = arrival
        self.answer = answer
        self.lag_s = lag_s
        self.tries = tries
        self.outcome = _outcome(answer)
        first = answer.first_token_s
        self.first_token_s = None if first is None else began_s + first
        self.whole_s = began_s + answer.whole_s

    def document(self) -> dict[str, typing.Any]:
        """The sample as one line of JSON."""
        arrival = self.arrival
        answer = self.answer
        gaps = [round(gap * 1e6) for gap in answer.gaps_s]
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
            "doubled_tokens": len(answer.ids) - len(set(answer.ids)),
            "first_token_s": self.first_token_s,
            "whole_s": self.whole_s,
            "gaps_us": gaps,
            "lag_s": round(self.lag_s, 6),
            "tries": self.tries,
            "moves": answer.moves,
            "breaks": answer.breaks,
        }


class Customers:
    """One caller for each customer, at the same entry VMs.

    :param entries: addresses of some entry VMs.
    :param patience_s: how long a refused request is tried again elsewhere.
    """

    def __init__(self, entries: list[str], patience_s: float) -> None:
        self._entries = entries
        self._patience_s = patience_s
        self._callers: dict[str, caller.Caller] = {}

    def send(self, arrival: _load_work.Arrival, due: float) -> Sample:
        """Send an arrival now.

        :param due: its intended time on the monotonic clock.
        """
        lag_s = time.monotonic() - due
        one = self._caller(arrival.customer)
        key = f"key-{arrival.operation}" if arrival.key == MADE else ""
        address = ""
        for tries in itertools.count(1):
            began_s = time.monotonic() - due
            if arrival.key == MINTED and not key:
                address = one.next_address()
                key = _minted(one, address)
            answer = _once(one, arrival, key, address)
            # A key minted here is known to the other entry VMs as well.
            address = ""
            if time.monotonic() - due > self.wait_s(arrival, answer):
                return Sample(arrival, answer, lag_s, tries, began_s)
            time.sleep(RETRY_S)
        raise AssertionError("unreachable")

    def _caller(self, customer: str) -> caller.Caller:
        fresh = caller.Caller(
            self._entries, KEY_PREFIX + customer, GAP_TIMEOUT_S
        )
        return self._callers.setdefault(customer, fresh)

    def wait_s(
        self, arrival: _load_work.Arrival, answer: answers.Answer
    ) -> float:
        """Until when the arrival may be sent again; 0 for not at all."""
        if answer.done:
            return 0.0
        if answer.refused:
            return self._patience_s
        # With its key a call is sent again without harm, also after an
        # answer that could not tell whether it had been run.
        harmless = arrival.key or arrival.method == "GET"
        asked_to = not answer.status or answer.retry_after_s
        return UNHEARD_S if harmless and asked_to else 0.0


def _minted(one: caller.Caller, address: str) -> str:
    """A key from an entry VM; empty when it gave none."""
    try:
        return one.mint_keys(1, address)[0]
    except (AssertionError, *caller.BROKEN):
        return ""


def _once(
    one: caller.Caller, arrival: _load_work.Arrival, key: str, address: str
) -> answers.Answer:
    if arrival.is_stream:
        assert arrival.body is not None
        return one.stream(arrival.path, arrival.body)
    if arrival.key == MINTED and not key:
        # Nothing was sent but the wish for a key.
        return _refused_key()
    return one.service(
        arrival.entry,
        arrival.method,
        arrival.path,
        arrival.body,
        key,
        address,
    )


def _refused_key() -> answers.Answer:
    answer = answers.Answer()
    answer.status = NO_KEY_STATUS
    answer.executed = "no"
    answer.error = "no key was minted"
    return answer


def _outcome(answer: answers.Answer) -> str:
    if answer.done:
        return WRONG if answer.problem else WHOLE
    if answer.refused:
        return REFUSED
    if answer.executed == "unknown":
        return UNKNOWN
    return LOST
