"""A log of runner crashes and the requests suspected of causing them.

A crash ends all requests that are in flight at the runner, and at most one
of them caused it. The log merges the crashes observed by all entry VMs. The
suspicion against a request is recomputed from the whole log on every query,
so reports may arrive twice, late and in any order.

A request is known by its fingerprint, a hash that all its repetitions share.
It is suspect after one crash and quarantined after a second one. Where trials
are used, a suspect runs only as a trial, alone among the suspects at its
runner (see :mod:`.quarantine`).
"""

import typing

from .. import clock as clocks

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
#: The greatest number of suspects that are taken from one report.
MAX_SUSPECTS = 1024


class SuspectRequest:
    """A request that was in flight at a runner when the runner crashed.

    :param fingerprint: the hash that all repetitions of the request share.
    :param attempt: the number of the attempt to send the request.
    :param on_trial: whether the suspect was there on trial, which the judge,
        one VM for each pool, had granted.
    """

    __slots__ = ("fingerprint", "request_id", "attempt", "on_trial")

    def __init__(
        self,
        fingerprint: str,
        request_id: str,
        attempt: int,
        on_trial: bool = False,
    ) -> None:
        self.fingerprint = fingerprint
        self.request_id = request_id
        self.attempt = attempt
        self.on_trial = on_trial


class CrashObservation:
    """The report of an entry VM that observed a runner crash.

    :param age_s: seconds since the crash; an age needs no clock
        synchronisation between VMs.
    :param noticed: whether a termination notice had announced the end of the
        runner.
    :param suspects: the VM's own requests in flight there. A crash without
        any is reported too, as it may show that another crash had a common
        cause with it.
    """

    __slots__ = (
        "vm",
        "runner",
        "data_centre",
        "age_s",
        "noticed",
        "suspects",
    )

    def __init__(
        self,
        vm: str,
        runner: str,
        data_centre: str,
        age_s: float,
        noticed: bool,
        suspects: tuple[SuspectRequest, ...],
    ) -> None:
        self.vm = vm
        self.runner = runner
        self.data_centre = data_centre
        self.age_s = age_s
        self.noticed = noticed
        self.suspects = suspects


class RequestCompleted:
    """Reports that a request with this fingerprint was answered in full.

    So the request did not cause the crashes before.

    :param age_s: seconds since the answer.
    """

    __slots__ = ("fingerprint", "age_s")

    def __init__(self, fingerprint: str, age_s: float) -> None:
        self.fingerprint = fingerprint
        self.age_s = age_s


class RunnerCrash:
    """One crash of one runner, merged from all reports of it.

    ``at`` is its monotonic time in seconds by this VM's clock, and ``noticed``
    tells whether a termination notice had announced it.
    """

    __slots__ = (
        "runner",
        "data_centre",
        "at",
        "noticed",
        "reporters",
        "suspects",
    )

    def __init__(self, runner: str, data_centre: str, at: float) -> None:
        self.runner = runner
        self.data_centre = data_centre
        self.at = at
        self.noticed = False
        #: VMs that reported the crash.
        self.reporters: set[str] = set()
        #: Maps the fingerprint of each suspect to whether it was on trial.
        self.suspects: dict[str, bool] = {}

    def shares_trial_suspect(self, others: "list[RunnerCrash]") -> bool:
        """Whether a suspect on trial here was at another of the crashes.

        Such a crash is the suspect's rather than that of a common cause.

        :param others: the other crashes; this one among them is ignored.
        """
        trial_suspects = [
            name for name, on_trial in self.suspects.items() if on_trial
        ]
        return any(
            name in other.suspects
            for name in trial_suspects
            for other in others
            if other is not self
        )


class CrashLog:
    """Runner crashes, and the suspicion that follows for each fingerprint."""

    __slots__ = (
        "_by_fingerprint",
        "_clock",
        "_crashes",
        "_runner_counts",
        "_completed_at",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._crashes: list[RunnerCrash] = []
        self._by_fingerprint: dict[str, list[RunnerCrash]] = {}
        self._runner_counts: dict[str, int] = {}
        self._completed_at: dict[str, float] = {}

    @property
    def crashes(self) -> tuple[RunnerCrash, ...]:
        """The crashes that are still kept."""
        return tuple(self._crashes)

    def set_sizes(self, sizes: typing.Mapping[str, int]) -> None:
        """Set the number of runners in each data centre.

        It decides how many crashes at once point to a common cause. Runners
        that have just crashed are included, because the runner list lags
        behind.
        """
        self._runner_counts = dict(sizes)

    def add(self, report: CrashObservation) -> None:
        """Merge a report of a crash into the log.

        A report of a known crash may add suspects to it; a duplicate has no
        effect. Reports older than :data:`QUARANTINE_S` are ignored.
        """
        at = self._clock.now() - report.age_s
        if report.age_s > QUARANTINE_S:
            return
        crash = self._find_crash(report.runner, at)
        if crash is None:
            crash = RunnerCrash(report.runner, report.data_centre, at)
            self._crashes.append(crash)
        # Each VM notices the crash when a call of its own breaks off. An
        # answer elsewhere may end before the last VM does.
        crash.at = min(crash.at, at)
        crash.noticed = crash.noticed or report.noticed
        crash.reporters.add(report.vm)
        for suspect in report.suspects[:MAX_SUSPECTS]:
            self._add_suspect(crash, suspect)
        if len(self._crashes) > MAX_CRASHES:
            self._remove_crash(self._crashes[0])

    def retract(self, vm: str, since: float) -> list[RunnerCrash]:
        """Remove the crashes that one VM alone reported.

        :param vm: a VM that had lost its paths to the runners.
        :param since: only crashes from this monotonic time on, in seconds.
        :returns: the crashes that were removed.
        """
        wrong = [
            crash
            for crash in self._crashes
            if crash.at >= since and crash.reporters == {vm}
        ]
        for crash in wrong:
            self._remove_crash(crash)
        return wrong

    def request_completed(self, report: RequestCompleted) -> None:
        """Clear a request of all crashes before its complete answer."""
        fingerprint = report.fingerprint
        if fingerprint not in self._by_fingerprint:
            return
        at = self._clock.now() - report.age_s
        known = self._completed_at.get(fingerprint, at)
        self._completed_at[fingerprint] = max(known, at)

    def recent_crash_data_centres(self, within_s: float) -> set[str]:
        """Data centres in which a runner crashed in the last seconds.

        :param within_s: the length of that time, in seconds.
        """
        since = self._clock.now() - within_s
        return {
            crash.data_centre for crash in self._crashes if crash.at > since
        }

    def expire(self) -> None:
        """Drop crashes older than :data:`QUARANTINE_S`."""
        oldest = self._clock.now() - QUARANTINE_S
        for crash in [d for d in self._crashes if d.at < oldest]:
            self._remove_crash(crash)

    def crashes_implicating(self, fingerprint: str) -> list[RunnerCrash]:
        """The crashes that a request with this fingerprint may have caused.

        Crashes with another explanation and crashes before the request's last
        complete answer are left out. A single crash counts for
        :data:`SUSPICION_S`, and crashes that quarantine the request count for
        :data:`QUARANTINE_S`.
        """
        implicated = self._by_fingerprint.get(fingerprint)
        if not implicated:
            return []
        now = self._clock.now()
        since = self._completed_at.get(fingerprint, float("-inf"))
        since = max(since, now - QUARANTINE_S)
        unexplained = [
            crash
            for crash in implicated
            if crash.at > since
            and not self._has_other_explanation(crash, fingerprint)
        ]
        latest = max((crash.at for crash in unexplained), default=now)
        recent = [d for d in unexplained if d.at >= latest - SUSPICION_S]
        if len(recent) >= CRASHES_TO_QUARANTINE:
            return recent
        return [
            crash for crash in unexplained if crash.at >= now - SUSPICION_S
        ]

    def crash_count(self, fingerprint: str) -> int:
        """The kept crashes at which a call was in flight, whatever explains
        them.
        """
        return len(self._by_fingerprint.get(fingerprint, ()))

    def reports(self, vm: str) -> list[CrashObservation]:
        """The whole log as reports, for a VM that has just started.

        :param vm: the name of the reporting VM.
        """
        now = self._clock.now()
        return [
            CrashObservation(
                vm,
                crash.runner,
                crash.data_centre,
                now - crash.at,
                crash.noticed,
                tuple(
                    SuspectRequest(name, "", 0, on_trial)
                    for name, on_trial in crash.suspects.items()
                    if crash.at > self._completed_at.get(name, float("-inf"))
                ),
            )
            for crash in self._crashes
        ]

    def _has_other_explanation(
        self, crash: RunnerCrash, fingerprint: str
    ) -> bool:
        """Whether a crash has an explanation other than this request.

        A termination notice explains a crash. So do crashes of other runners
        of the data centre at about the same time at which this request was
        not in flight. A crash does not count if a suspect on trial there was
        also at another of these crashes: two requests that crash runners at
        the same time would otherwise clear each other.
        """
        if crash.noticed:
            return True
        nearby = [
            other
            for other in self._crashes
            if other.data_centre == crash.data_centre
            and abs(other.at - crash.at) <= CORRELATION_WINDOW_S
            and fingerprint not in other.suspects
        ]
        others = {
            other.runner
            for other in nearby
            if not other.shares_trial_suspect(nearby)
        }
        size = self._runner_counts.get(
            crash.data_centre, MIN_CORRELATED_CRASHES + 1
        )
        return len(others) >= max(1, min(MIN_CORRELATED_CRASHES, size - 1))

    def _find_crash(self, runner: str, at: float) -> RunnerCrash | None:
        matching = (
            crash
            for crash in self._crashes
            if crash.runner == runner
            and abs(crash.at - at) <= SAME_CRASH_WINDOW_S
        )
        return next(matching, None)

    def _add_suspect(
        self, crash: RunnerCrash, suspect: SuspectRequest
    ) -> None:
        fingerprint = suspect.fingerprint
        if fingerprint not in crash.suspects:
            implicated = self._by_fingerprint.setdefault(fingerprint, [])
            implicated.append(crash)
        on_trial = crash.suspects.get(fingerprint, False) or suspect.on_trial
        crash.suspects[fingerprint] = on_trial

    def _remove_crash(self, crash: RunnerCrash) -> None:
        self._crashes.remove(crash)
        for fingerprint in crash.suspects:
            implicated = self._by_fingerprint[fingerprint]
            implicated.remove(crash)
            if not implicated:
                del self._by_fingerprint[fingerprint]
                self._completed_at.pop(fingerprint, None)


Report = typing.Union[CrashObservation, RequestCompleted]
