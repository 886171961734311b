"""The part of a VM's records that is about crashes of runners.

Records are the datagrams by which VMs tell each other their state several
times a second. VMs of earlier builds know a call by its fingerprint alone; in
place of a name, they get text that they don't know and that has no effect.
"""

import itertools
import typing

from .. import validation

from . import call_features
from . import crashes

#: How long a crash or a completed call is repeated in each record, in
#: seconds. One record in five may be lost, but hardly ever 15 in a row.
RECORD_REPEAT_S = 3.0
#: The greatest numbers of suspects that a record lists for one crash, and of
#: crashes that it lists, and the greatest total length of the suspects. The
#: limits keep a record a small datagram of at most 4 KB.
MAX_SUSPECTS_PER_CRASH = 48
MAX_CRASHES_PER_RECORD = 4
MAX_SUSPECT_CHARS = 2400
#: The greatest number of blocked calls that a record lists.
MAX_BLOCKED_PER_RECORD = 32
#: The greatest number of answered features that a record lists.
MAX_ANSWERED_PER_RECORD = 32
#: Characters around a suspect in an encoded record.
_QUOTES = 3
#: Begins the name of a VM that reported a crash, among its suspects.
_REPORTER = "@"
#: Begins a suspect that was on trial.
_ON_TRIAL = "!"
#: Begins a feature whose block was an error, among the answered ones.
_UNBLOCKED = "-"
#: In place of a runner: the sender takes its crashes back since that time.
_RETRACTION = "-"

#: A crash as it stands in a record: runner, data centre, age in seconds,
#: whether the runner had announced its end, and the suspects.
CrashEntry = tuple[str, str, float, bool, list[str]]
#: The crash part of a record: crashes, features of suspects that were
#: answered, and the seconds left for each blocked fingerprint.
CrashRecord = tuple[list[CrashEntry], list[str], dict[str, float]]
#: Checks that a value received from a peer has that shape.
is_crash_record = validation.is_tuple_of(
    validation.is_list_of(
        validation.is_tuple_of(
            validation.is_non_empty_string,
            validation.is_string,
            validation.is_non_negative_number,
            validation.is_bool,
            validation.is_list_of(validation.is_string),
        )
    ),
    validation.is_list_of(validation.is_string),
    validation.is_map_of(
        validation.is_string, validation.is_non_negative_number
    ),
)


class CrashNews:
    """What a peer's record says of crashes.

    :param observations: the crashes, once for each VM that reported one.
    :param answers: the features that were answered.
    :param unblocked: the fingerprints that were blocked by error.
    :param retracted_s: the sender takes back the crashes that it alone
        reported in so many seconds; None if it doesn't.
    :param blocked: the seconds left of each block, by fingerprint.
    """

    __slots__ = (
        "answers",
        "blocked",
        "observations",
        "retracted_s",
        "unblocked",
    )

    def __init__(
        self,
        observations: list[crashes.CrashObservation],
        answers: list[crashes.RequestCompleted],
        unblocked: list[str],
        retracted_s: float | None,
        blocked: typing.Mapping[str, float],
    ) -> None:
        self.observations = observations
        self.answers = answers
        self.unblocked = unblocked
        self.retracted_s = retracted_s
        self.blocked = blocked


def encode_crash(
    crash: crashes.CrashObservation,
    age_s: float,
    suspects: typing.Iterable[crashes.SuspectRequest],
    reporters: typing.Iterable[str] = (),
) -> CrashEntry:
    """Encode a crash.

    :param age_s: seconds since the crash.
    :param suspects: those of its suspects that are listed.
    :param reporters: the VMs that observed it, unless it is the sender.
    """
    names = [f"{_REPORTER}{vm}" for vm in reporters]
    names += map(encode_suspect, suspects)
    return crash.runner, crash.data_centre, age_s, crash.noticed, names


def encode_retraction(age_s: float) -> CrashEntry:
    """Encode that the sender takes back its crashes of the last seconds."""
    return _RETRACTION, "", age_s, False, []


def encode_suspect(suspect: crashes.SuspectRequest) -> str:
    """Encode a suspect; one without parts is its fingerprint."""
    words = [suspect.fingerprint]
    if suspect.parts:
        words += [suspect.customer_hash, *suspect.parts]
    return (_ON_TRIAL if suspect.on_trial else "") + " ".join(words)


def fit(
    suspects: typing.Iterable[crashes.SuspectRequest],
    chars: int = MAX_SUSPECT_CHARS,
) -> list[crashes.SuspectRequest]:
    """The first of some suspects, as many as there is room for.

    :param chars: the greatest total length of what is listed.
    """
    fitting = []
    for suspect in itertools.islice(suspects, MAX_SUSPECTS_PER_CRASH):
        chars -= len(encode_suspect(suspect)) + _QUOTES
        if chars < 0:
            break
        fitting.append(suspect)
    return fitting


def encode_answer(name: str, age_s: float) -> str:
    """Encode that a call with a feature was answered so many seconds ago."""
    return f"{name} {age_s:.2f}"


def encode_unblocked(fingerprint: str) -> str:
    """Encode that a call was blocked by error."""
    return f"{_UNBLOCKED}{fingerprint}"


def decode(vm: str, record: CrashRecord) -> CrashNews:
    """Decode a record, whose shape was checked.

    :param vm: the VM that sent it.
    """
    entries, completed, blocked = record
    retractions = [entry[2] for entry in entries if entry[0] == _RETRACTION]
    return CrashNews(
        [
            observation
            for entry in entries
            if entry[0] != _RETRACTION
            for observation in _decode_crash(vm, entry)
        ],
        [
            answer
            for text in completed
            if not text.startswith(_UNBLOCKED)
            for answer in _decode_answer(text)
        ],
        [
            text.removeprefix(_UNBLOCKED)
            for text in completed
            if text.startswith(_UNBLOCKED)
        ],
        max(retractions, default=None),
        blocked,
    )


def _decode_crash(
    vm: str, entry: CrashEntry
) -> list[crashes.CrashObservation]:
    runner, data_centre, age_s, noticed, names = entry
    reporters = [
        name.removeprefix(_REPORTER)
        for name in names
        if name.startswith(_REPORTER)
    ]
    suspects = tuple(
        _decode_suspect(name)
        for name in names
        if name and not name.startswith(_REPORTER)
    )
    return [
        crashes.CrashObservation(
            reporter, runner, data_centre, age_s, noticed, suspects
        )
        for reporter in reporters or [vm]
    ]


def _decode_suspect(text: str) -> crashes.SuspectRequest:
    words = text.removeprefix(_ON_TRIAL).split(" ")
    return crashes.SuspectRequest(
        words[0],
        "",
        1,
        text.startswith(_ON_TRIAL),
        words[1] if len(words) > 1 else "",
        tuple(words[2 : 2 + call_features.MAX_PARTS]),
    )


def _decode_answer(text: str) -> list[crashes.RequestCompleted]:
    """Decode an answer; VMs of earlier builds don't say when it ended."""
    name, _, age = text.partition(" ")
    try:
        age_s = float(age or 0.0)
    except ValueError:
        return []
    if not 0.0 <= age_s <= crashes.QUARANTINE_S:
        return []
    return [crashes.RequestCompleted(name, age_s)]
