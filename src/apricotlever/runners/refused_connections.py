"""Keeps which runners refused connections, here and at other VMs.

A refused connection shows that no process listens at the runner's address, so
that further calls to it would fail, too. A VM that has met one reports it to
the others. A report of a single VM does not close a runner for all, as the
VM's own network may be broken. For the same reason, a VM reports nothing
before some runner has answered it after the refused connection.
"""

import typing

from .. import clock as clocks

#: For how long this VM reports a refused connection, in seconds. It is the
#: time until the first probe of the runner, after which this VM knows more.
REPORT_S = 1.0
#: Reports about a runner are ignored for this many seconds after it answered
#: this VM. Others may still report what was so before the runner's restart:
#: for :data:`REPORT_S`, and until their last record has arrived here.
RECENT_ANSWER_S = 2.0
#: Number of VMs whose reports suffice without a failure met by this VM. A
#: single VM may itself be disconnected.
MIN_REPORTERS = 2


class RefusedConnections:
    """Decides which runners to avoid because they refuse connections.

    :param clock: the source of time.
    """

    __slots__ = (
        "_answered_at",
        "_clock",
        "_last_answer_at",
        "_refused_at",
        "_reporters",
    )

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._answered_at: dict[str, float] = {}
        self._last_answer_at = float("-inf")
        self._refused_at: dict[str, float] = {}
        #: Number of VMs that report a runner, by runner.
        self._reporters: dict[str, int] = {}

    @property
    def refused_here(self) -> list[str]:
        """Runners that this VM reports to the others."""
        since = self._clock.now() - REPORT_S
        return [
            name
            for name, at in self._refused_at.items()
            if since < at <= self._last_answer_at
        ]

    @property
    def reported(self) -> frozenset[str]:
        """Runners that any VM reports: one failure met here confirms it."""
        return frozenset(self._reporters)

    @property
    def confirmed(self) -> frozenset[str]:
        """Runners that several VMs report."""
        return frozenset(
            runner
            for runner, count in self._reporters.items()
            if count >= MIN_REPORTERS
        )

    def refused(self, runner: str) -> None:
        """Record that a runner has refused a connection of this VM."""
        self._refused_at[runner] = self._clock.now()
        self._answered_at.pop(runner, None)

    def answered(self, runner: str) -> bool:
        """Record that bytes arrived from a runner.

        :returns: whether this VM has more to report now.
        """
        now, before = self._clock.now(), self._last_answer_at
        self._answered_at[runner] = self._last_answer_at = now
        self._refused_at.pop(runner, None)
        self._reporters.pop(runner, None)
        return any(at > before for at in self._refused_at.values())

    def set_reports(self, counts: typing.Mapping[str, int]) -> list[str]:
        """Set how many VMs report each runner.

        :param counts: number of reporting VMs by runner. They may include
            this VM, which avoids the runners that refused it anyway.
        :returns: runners that several VMs report now and did not before.
        """
        since = self._clock.now() - RECENT_ANSWER_S
        never = float("-inf")
        before = self.confirmed
        self._reporters = {
            runner: count
            for runner, count in counts.items()
            if count and self._answered_at.get(runner, never) < since
        }
        return sorted(self.confirmed - before)

    def keep_only(self, runners: typing.Container[str]) -> None:
        """Discard what is known of all other runners."""
        for known in (self._answered_at, self._refused_at):
            for runner in [name for name in known if name not in runners]:
                del known[runner]
        for runner in [r for r in self._reporters if r not in runners]:
            del self._reporters[runner]
