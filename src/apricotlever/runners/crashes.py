"""Crashes of runners, and the reports by which entry VMs share them.

A crash ends all requests that are in flight at the runner, and at most one of
them caused it. Each is a suspect, with its features
(:mod:`.call_features`).
"""

import typing

from . import call_features

#: Reports about one runner within this time describe the same crash.
SAME_CRASH_WINDOW_S = 3.0
#: Crashes within this time of each other may have a common cause.
CORRELATION_WINDOW_S = 10.0
#: A crash is explained by a common cause when at least this many other
#: runners of the data centre crashed too, or all others if it has fewer.
MIN_CORRELATED_CRASHES = 2
#: How long a single crash keeps a request suspect.
SUSPICION_S = 600.0
#: How long a request stays quarantined after two crashes within
#: :data:`SUSPICION_S` of each other.
QUARANTINE_S = 1800.0
#: Crashes after which a request is quarantined.
CRASHES_TO_QUARANTINE = 2
#: Crashes kept in the log; the oldest are dropped first.
MAX_CRASHES = 4096
#: The greatest number of features of suspects in the log, likewise.
MAX_FEATURES = 50_000
#: The greatest number of suspects that are taken from one report.
MAX_SUSPECTS = 1024


class SuspectRequest:
    """A request that was in flight at a runner when the runner crashed.

    :param fingerprint: the hash that all repetitions of the request share.
    :param attempt: the number of the attempt to send the request.
    :param on_trial: whether the suspect was there on trial, which the judge,
        one VM for each pool, had granted.
    :param customer_hash: a hash of its customer's name.
    :param parts: the names of the parts of its prompt that other requests may
        share.
    """

    __slots__ = (
        "attempt",
        "customer_hash",
        "fingerprint",
        "on_trial",
        "part_names",
        "parts",
        "request_id",
    )

    def __init__(
        self,
        fingerprint: str,
        request_id: str,
        attempt: int,
        on_trial: bool = False,
        customer_hash: str = "",
        parts: tuple[str, ...] = (),
    ) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.attempt = attempt
        self.on_trial = on_trial
        self.customer_hash = customer_hash
        self.parts = parts
        #: The names of the features of its parts.
        self.part_names = call_features.part_features(customer_hash, parts)

    @property
    def names(self) -> frozenset[str]:
        """The names of all features."""
        return frozenset((self.fingerprint, *self.part_names))

    def has(self, name: str) -> bool:
        """Whether the request has a feature."""
        return name == self.fingerprint or name in self.part_names


class CrashObservation:
    """The report of an entry VM that observed a runner crash.

    :param age_s: seconds since the crash; an age needs no clock
        synchronisation between VMs.
    :param noticed: whether a termination notice had announced the end of the
        runner.
    :param suspects: the VM's own requests in flight there. A crash without
        any is reported too, as it may show that another crash had a common
        cause with it.
    :param fragile: whether the runner had said that it falls over when too
        many calls reach it.
    """

    __slots__ = (
        "vm",
        "runner",
        "data_centre",
        "age_s",
        "noticed",
        "suspects",
        "fragile",
    )

    def __init__(
        self,
        vm: str,
        runner: str,
        data_centre: str,
        age_s: float,
        noticed: bool,
        suspects: tuple[SuspectRequest, ...],
        fragile: bool = False,
    ) -> None:
        self.vm = vm
        self.runner = runner
        self.data_centre = data_centre
        self.age_s = age_s
        self.noticed = noticed
        self.suspects = suspects
        self.fragile = fragile


class RequestCompleted:
    """Reports that a request with a feature was answered in full.

    So the feature did not cause the crashes before.

    :param name: the name of the feature.
    :param age_s: seconds since the answer.
    """

    __slots__ = ("name", "age_s")

    def __init__(self, name: str, age_s: float) -> None:
        self.name = name
        self.age_s = age_s


class RunnerCrash:
    """One crash of one runner, merged from all reports of it.

    ``at`` is its monotonic time in seconds by this VM's clock, ``noticed``
    tells whether a termination notice had announced it, and ``fragile``
    whether the runner had said that it falls over under too many calls.
    """

    __slots__ = (
        "runner",
        "data_centre",
        "at",
        "fragile",
        "names",
        "noticed",
        "reporters",
        "suspects",
    )

    def __init__(self, runner: str, data_centre: str, at: float) -> None:
        self.runner = runner
        self.data_centre = data_centre
        self.at = at
        self.noticed = False
        self.fragile = False
        #: VMs that reported the crash.
        self.reporters: set[str] = set()
        #: The suspects, by fingerprint.
        self.suspects: dict[str, SuspectRequest] = {}
        #: The names of all their features.
        self.names: set[str] = set()

    def suspects_with(self, name: str) -> list[SuspectRequest]:
        """The suspects that have a feature."""
        return [s for s in self.suspects.values() if s.has(name)]

    def shares_trial_suspect(self, others: "list[RunnerCrash]") -> bool:
        """Whether a suspect on trial here was at another of the crashes.

        Such a crash is the suspect's rather than that of a common cause.

        :param others: the other crashes; this one among them is ignored.
        """
        trial_suspects = [
            name for name, each in self.suspects.items() if each.on_trial
        ]
        return any(
            name in other.suspects
            for name in trial_suspects
            for other in others
            if other is not self
        )


Report = typing.Union[CrashObservation, RequestCompleted]
