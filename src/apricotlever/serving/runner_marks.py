"""Runners that are leaving by a notice, before their entries say so.

A mark changes neither the entry of the runner nor the revision and checksum of
the directory, so that the entry is still fetched and then decides.
"""

from .. import clock as clocks
from ..vms import notices

from . import runners as runners_


class _Mark:
    """A notice whose entry has not arrived yet.

    :param runner: copy of the runner, as leaving.
    :param revision: the store's revision of the change.
    :param until: when the mark expires, on the monotonic clock.
    """

    __slots__ = ("runner", "revision", "until")

    def __init__(
        self, runner: runners_.Runner, revision: int, until: float
    ) -> None:
        self.runner = runner
        self.revision = revision
        self.until = until


class RunnerMarks:
    """Marks of runners as leaving, by the runner's name."""

    __slots__ = ("_by_name", "_clock")

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._by_name: dict[str, _Mark] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._by_name

    def shown(self, runner: runners_.Runner) -> runners_.Runner:
        """A runner as components that choose runners see it."""
        mark = self._by_name.get(runner.name)
        return runner if mark is None else mark.runner

    def is_applicable(
        self, known: runners_.Runner | None, notice: notices.Notice
    ) -> bool:
        """Whether a notice tells something new of a known incarnation.

        A notice with the revision of the known entry is applicable: it is of a
        removal that another VM found out by itself.

        :param known: the runner of that name by its entry.
        """
        if known is None or known.leaving or known.born != notice.born:
            return False
        mark = self._by_name.get(notice.name)
        return notice.revision >= known.revision and (
            mark is None or notice.revision > mark.revision
        )

    def add(self, known: runners_.Runner, notice: notices.Notice) -> bool:
        """Mark a runner by an applicable notice.

        :returns: whether it was not marked before.
        """
        is_new = notice.name not in self._by_name
        self._by_name[notice.name] = _Mark(
            known.as_leaving(),
            notice.revision,
            self._clock.now() + notices.MARK_S,
        )
        return is_new

    def entry_changed(self, runner: runners_.Runner) -> bool:
        """End the mark of a runner if its entry is as new as the notice.

        The entry of another incarnation ends it, too.

        :returns: whether this incarnation was marked before.
        """
        mark = self._by_name.get(runner.name)
        if mark is None:
            return False
        is_same = mark.runner.runner_id == runner.runner_id
        if not is_same or runner.revision >= mark.revision:
            del self._by_name[runner.name]
        else:
            mark.runner = runner.as_leaving()
        return is_same

    def remove(self, name: str) -> bool:
        """End the mark of a removed runner.

        :returns: whether it was marked.
        """
        return self._by_name.pop(name, None) is not None

    def expire(self) -> bool:
        """End the marks that no entry has confirmed in time.

        :returns: whether there were any.
        """
        now = self._clock.now()
        due = [name for name, m in self._by_name.items() if m.until <= now]
        for name in due:
            del self._by_name[name]
        return bool(due)
