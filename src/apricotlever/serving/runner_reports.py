"""What this VM reports of the runners to the other VMs.

A VM that has lost its paths to the runners finds all of them silent, refusing
or crashed. Two such VMs would make all others avoid sound runners, so a VM
reports nothing bad of a runner while it may have lost its paths, and takes
back what it took for crashes since it lost them.
"""

from .. import logs
from ..runners import crash_records
from ..runners import outlier_detector
from ..runners import reachability

from . import call_observations
from . import crash_watch


class RunnerReports:
    """The reports of one VM.

    :param reach: tells whether this VM may have lost its paths.
    """

    __slots__ = ("_crashes", "_lacked_paths", "_observations", "_reach")

    def __init__(
        self,
        reach: reachability.Reachability,
        observations: call_observations.CallObservations,
        crashes: crash_watch.CrashWatch,
    ) -> None:
        self._reach = reach
        self._observations = observations
        self._crashes = crashes
        self._lacked_paths = False

    @property
    def silent(self) -> list[str]:
        """Runners that send nothing to this VM's waiting calls."""
        if not self._reach.is_connected:
            return []
        return self._observations.silence.silent_for_long

    @property
    def refused(self) -> list[str]:
        """Runners that have just refused a connection of this VM."""
        if not self._reach.is_connected:
            return []
        return self._observations.refusals.refused_here

    @property
    def failures(self) -> outlier_detector.Counts:
        """Failed and total calls since the start, by runner."""
        return self._observations.vouched.counts

    @property
    def dropped_failures(self) -> int:
        """Number of failures that were not reported, as they may be own."""
        return self._observations.vouched.dropped

    def crashes(self, whole: bool) -> crash_records.CrashRecord | None:
        """The crashes of runners to report; None for none.

        :param whole: whether to include the blocked calls.
        """
        if not self._reach.is_connected:
            return None
        return self._crashes.next_record(whole)

    def update(self) -> None:
        """Apply what is known of this VM's paths.

        To be called several times a second.
        """
        self._observations.vouched.update(self._reach)
        lacks_paths = self._reach.lacks_paths
        if lacks_paths and not self._lacked_paths:
            self._take_back_crashes()
        elif self._lacked_paths and not lacks_paths:
            self._observations.outliers.forget_own_calls()
        self._lacked_paths = lacks_paths

    def _take_back_crashes(self) -> None:
        count = self._crashes.retract(self._reach.cut_since)
        if count:
            logs.event("runner_crashes_retracted", count=count)
