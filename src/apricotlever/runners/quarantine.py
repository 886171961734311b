"""Keeps a request that crashes its runners from reaching a third one.

A fingerprint is clear, suspect after one crash, or quarantined after two.
Suspects run as trials: one at a time for each fingerprint, and at most one
suspect at a runner, so that a second crash has only one possible cause among
them. A judge VM, picked for the pool by rendezvous hashing, hands out the
trials; all VMs hear of the crashes.
"""

import enum
import json
import typing

import xxhash

from .. import clock as clocks
from . import crashes

#: After a death, a suspect of two waits this long before it is refused for
#: good: by then it shows whether the death was one of many.
SETTLE_S = 4.0
#: A trial whose end nobody reported is over after this time.
TRIAL_S = 60.0
TRIAL_RETRY_S = 0.5
#: After a death the judge waits so long, in seconds, before it hands out a
#: trial. Copies of the suspect that were at other runners then have taken
#: those down too by that time, and the news has come: 3 to 30 ms on one
#: machine with all its cores busy. A trial before it costs a third runner.
NEWS_S = 0.3
#: Fields of a body that don't change what an engine computes.
INERT_FIELDS = frozenset({"stream", "stream_options", "user", "metadata"})


class State(enum.Enum):
    """What is known of a fingerprint."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class Standing:
    """A fingerprint's state.

    :param retry_after_s: when a quarantine ends; of a suspect, when it is
        worth asking the judge, who holds it until then.
    """

    __slots__ = ("state", "retry_after_s")

    def __init__(self, state: State, retry_after_s: float = 0.0) -> None:
        self.state = state
        self.retry_after_s = retry_after_s


class Place:
    """A runner at which a trial could take place."""

    __slots__ = ("runner", "data_centre")

    def __init__(self, runner: str, data_centre: str) -> None:
        self.runner = runner
        self.data_centre = data_centre


class MayRun:
    """Asks the judge for a trial.

    :param places: where the asking VM would run it, the best first.
    """

    __slots__ = ("fingerprint", "request_id", "places")

    def __init__(
        self,
        fingerprint: str,
        request_id: str,
        places: tuple[Place, ...],
    ) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.places = places


class TrialOver:
    """Tells the judge that a trial no longer needs its runner.

    Sent when the request has ended in any way.
    """

    __slots__ = ("fingerprint", "request_id")

    def __init__(self, fingerprint: str, request_id: str) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id


class RunFreely:
    """Judge's answer: the fingerprint is not suspect any more."""

    __slots__ = ()


class RunAt:
    """Judge's answer: run at this runner, as a trial."""

    __slots__ = ("runner",)

    def __init__(self, runner: str) -> None:
        self.runner = runner


class Hold:
    """Judge's answer: another trial is in the way, ask again."""

    __slots__ = ("retry_after_s",)

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s


class RefuseRun:
    """Judge's answer: quarantined, don't run."""

    __slots__ = ("retry_after_s",)

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s


Decision = typing.Union[RunFreely, RunAt, Hold, RefuseRun]


class _Trial:
    __slots__ = ("request_id", "runner", "until")

    def __init__(self, request_id: str, runner: str, until: float) -> None:
        self.request_id = request_id
        self.runner = runner
        self.until = until


class Quarantine:
    """What this VM knows of crashes, and its trials when it is a judge."""

    __slots__ = ("_clock", "_log", "_trials")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._log = crashes.CrashLog(clock)
        self._trials: dict[str, _Trial] = {}

    @property
    def log(self) -> crashes.CrashLog:
        """The crashes that this VM has heard of."""
        return self._log

    @property
    def trials(self) -> int:
        """Trials that this VM handed out and that are not over."""
        return len(self._trials)

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Tell how many runners each data centre has."""
        self._log.set_sizes(sizes)

    def receive(self, report: crashes.Report) -> None:
        """Merge a report of this VM or of a peer."""
        if isinstance(report, crashes.CrashSeen):
            self._log.add(report)
        else:
            self._log.survived(report)

    def standing(self, fingerprint: str) -> Standing:
        """What this VM knows of a fingerprint now."""
        against = self._log.against(fingerprint)
        if not against:
            return Standing(State.CLEAR)
        age_s = self._clock.now() - max(death.at for death in against)
        if len(against) < crashes.CRASHES_TO_QUARANTINE:
            return Standing(State.SUSPECT)
        if age_s < SETTLE_S:
            return Standing(State.SUSPECT, SETTLE_S - age_s)
        return Standing(
            State.QUARANTINED, max(1.0, crashes.QUARANTINE_S - age_s)
        )

    def judge(self, question: MayRun) -> Decision:
        """Decide, as the judge of the pool, on the run of a suspect."""
        standing = self.standing(question.fingerprint)
        if standing.state is State.QUARANTINED:
            return RefuseRun(standing.retry_after_s)
        if standing.state is State.CLEAR:
            return RunFreely()
        if standing.retry_after_s:
            return Hold(standing.retry_after_s)
        since_s = self._since_death(question.fingerprint)
        if since_s < NEWS_S:
            return Hold(NEWS_S - since_s)
        self._end_old_trials()
        running = self._trials.get(question.fingerprint)
        if running is not None and running.request_id != question.request_id:
            return Hold(TRIAL_RETRY_S)
        place = self._free_place(question)
        if place is None:
            return Hold(TRIAL_RETRY_S)
        self._trials[question.fingerprint] = _Trial(
            question.request_id, place, self._clock.now() + TRIAL_S
        )
        return RunAt(place)

    def trial_over(self, report: TrialOver) -> None:
        """Free the runner of a trial; copies and late ones do no harm."""
        trial = self._trials.get(report.fingerprint)
        if trial is not None and trial.request_id == report.request_id:
            del self._trials[report.fingerprint]

    def tick(self) -> None:
        """Drop what is too old to matter."""
        self._log.expire()
        self._end_old_trials()

    def _since_death(self, fingerprint: str) -> float:
        """Seconds since the last death that speaks against a request."""
        against = self._log.against(fingerprint)
        return self._clock.now() - max(death.at for death in against)

    def _free_place(self, question: MayRun) -> str | None:
        """The best place without a trial, in a data centre that is quiet.

        Where a runner died a moment ago more may follow; a second death
        there would look like the suspect's doing. Where the suspect's own
        last runner died is the last choice.
        """
        taken = {
            trial.runner
            for fingerprint, trial in self._trials.items()
            if fingerprint != question.fingerprint
        }
        died_in = {
            death.data_centre
            for death in self._log.against(question.fingerprint)
        }
        unquiet = self._log.died_lately(SETTLE_S)
        free = [
            place
            for place in question.places
            if place.runner not in taken and place.data_centre not in unquiet
        ]
        free.sort(key=lambda place: place.data_centre in died_in)
        return free[0].runner if free else None

    def _end_old_trials(self) -> None:
        now = self._clock.now()
        self._trials = {
            fingerprint: trial
            for fingerprint, trial in self._trials.items()
            if trial.until > now
        }


def fingerprint(entry: str, customer: str, body: bytes, call: str = "") -> str:
    """What two sendings of the same request have in common.

    The customer is part of it: the same caller meets the same fingerprint at
    each entry VM, and a like request of another customer is served.

    :param body: as received; a JSON object is brought into one form.
    :param call: method and path of a plain service's call.
    :returns: 16 hex digits.
    """
    head = json.dumps([entry, customer, call]).encode()
    return xxhash.xxh64_hexdigest(head + b"\0" + _normalised(body))


def _normalised(body: bytes) -> bytes:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return body
    if not isinstance(document, dict):
        return body
    kept = {k: v for k, v in document.items() if k not in INERT_FIELDS}
    return json.dumps(kept, sort_keys=True, separators=(",", ":")).encode()
