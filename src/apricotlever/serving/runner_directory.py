"""This VM's view of the runners that the platform lists in its store.

The directory merges the store's entries with those that peers, the other entry
VMs, have received. An entry is missing if its runner has ended, but also if
an outage of the store kept the runner from renewing it. So the removal of an
entry is applied only after a delay, unless its runner had announced that it is
leaving.
"""

import collections
import typing

import xxhash

from .. import clock as clocks
from ..vms import notices

from . import entry_precedence
from . import runner_marks
from . import runners as runners_

#: After an outage of the store, a runner whose entry is missing is kept for
#: this time, in seconds. The entries of live runners expire during an outage
#: and are written again within about this time.
REAPPEAR_TIMEOUT_S = 2.0
#: Delay before the removal of an entry is applied if its runner had not
#: announced that it is leaving, in seconds. By its end it is known whether the
#: removal is one of many. A removed runner serves on for longer than this.
REMOVAL_HOLD_S = 0.4
#: If entries of at least this many runners, and of at least this share of the
#: runners that accept work, are removed at once without announcement, they are
#: taken to have expired in an outage of the store. A watch request that just
#: waited during the outage does not report it.
MASS_REMOVAL_MIN_COUNT = 3
MASS_REMOVAL_SHARE = 0.5
#: Delay of such a mass removal, as a share of the time within which a runner
#: that has left must stop receiving work. The removal must be in time, as the
#: runners of a data centre that are reclaimed without a notice look the same
#: as expired entries. The rest of the time is for propagating the removal.
MASS_REMOVAL_DRAIN_SHARE = 0.65
#: Maximum number of removals that are remembered. They prevent an entry that
#: arrives late from restoring a removed runner.
MAX_TOMBSTONES = 4096


class _PendingRemoval:
    """An entry's removal that is not applied yet, as the runner may be alive.

    :param removed_at: when the removal was received, on the monotonic clock.
    :param until: when the removal is applied, on the monotonic clock.
    :param revision: the store's revision of the removal.
    """

    __slots__ = ("removed_at", "until", "revision")

    def __init__(self, removed_at: float, until: float, revision: int) -> None:
        self.removed_at = removed_at
        self.until = until
        self.revision = revision


class RunnerDirectory:
    """The runners known to this VM, one incarnation for each name.

    Updates arrive from the store and from peers in any order. Of two entries
    with the same name the one with the later start takes precedence, and of
    two entries of one incarnation the one with the higher revision;
    :func:`.entry_precedence.supersedes` has the exceptions. A revision is the
    store's number of a change. A notice of another VM marks a runner as
    leaving until its entry arrives. Marks change neither the entries nor the
    revision and checksum, so that the entry is fetched and decides.

    :param drain_s: the time within which a runner that has left must stop
        receiving work, in seconds.
    """

    __slots__ = (
        "_by_id",
        "_checksum",
        "_clock",
        "_confirmed_at",
        "_drain_s",
        "_pending_removals",
        "_tombstones",
        "_marks",
        "_mass_removal_hold_s",
        "_new_notices",
        "_grace_until",
        "_revision",
        "_runners",
    )

    def __init__(
        self, clock: clocks.Clock, drain_s: float = REAPPEAR_TIMEOUT_S
    ) -> None:
        self._clock = clock
        self._drain_s = drain_s
        self._confirmed_at = float("-inf")
        self._mass_removal_hold_s = min(
            REAPPEAR_TIMEOUT_S, MASS_REMOVAL_DRAIN_SHARE * drain_s
        )
        #: Runners by name, with placeholders for entries never readable.
        self._runners: dict[str, runners_.Runner] = {}
        #: The same runners by incarnation.
        self._by_id: dict[str, runners_.Runner] = {}
        #: The revision of the removal, by the name of a removed runner.
        self._tombstones: dict[str, int] = {}
        #: Removals that are not applied yet, by the name of the runner.
        self._pending_removals: dict[str, _PendingRemoval] = {}
        #: Runners that are leaving by notices.
        self._marks = runner_marks.RunnerMarks(clock)
        #: Notices of runners that entries showed to be leaving or removed.
        self._new_notices: collections.deque[notices.Notice] = (
            collections.deque(maxlen=notices.MAX_PER_MESSAGE)
        )
        self._checksum: int | None = None
        self._revision = 0
        self._grace_until = float("-inf")

    @property
    def unconfirmed_s(self) -> float:
        """Seconds since this view was last known to be up to date."""
        return self._clock.now() - self._confirmed_at

    def confirm(self) -> None:
        """Note that this view is that of the store or of a peer now."""
        self._confirmed_at = self._clock.now()

    def suspect(self) -> None:
        """Note that this view may have become old without a sign of it."""
        self._confirmed_at = float("-inf")

    @property
    def drain_s(self) -> float:
        """See the class's parameter."""
        return self._drain_s

    @property
    def revision(self) -> int:
        """The highest store revision of the updates applied so far."""
        return self._revision

    @property
    def checksum(self) -> int:
        """A checksum of all known runners and of which accept new work.

        VMs compare it to find differences between their directories. Comparing
        revisions does not reveal a removal that one VM delays: its peers have
        received later revisions by the time it is applied.
        """
        if self._checksum is None:
            states = sorted(r.state_key for r in self._runners.values())
            text = " ".join(states).encode()
            self._checksum = xxhash.xxh32_intdigest(text)
        return self._checksum

    @property
    def runners(self) -> list[runners_.Runner]:
        """All known runners, including those that are leaving."""
        return [
            self._marks.shown(r)
            for r in self._runners.values()
            if not r.is_placeholder
        ]

    def available_runners(self, service: str) -> list[runners_.Runner]:
        """The runners of a service that accept new work."""
        return [
            runner
            for runner in self._runners.values()
            if runner.service == service
            and not runner.leaving
            and runner.name not in self._marks
        ]

    def get(self, runner_id: str) -> runners_.Runner | None:
        """The incarnation with this id; None if unknown or removed."""
        runner = self._by_id.get(runner_id)
        return None if runner is None else self._marks.shown(runner)

    def extend_removal_grace(self) -> None:
        """Keep runners with missing entries for a while, after a store outage.

        Removals that arrive from now on are not applied before
        :data:`REAPPEAR_TIMEOUT_S` has passed, except those of leaving runners.
        """
        self._grace_until = self._clock.now() + REAPPEAR_TIMEOUT_S

    def apply_list(
        self, entries: typing.Iterable[runners_.RunnerEntry], revision: int
    ) -> list[str]:
        """Apply the store's complete list of entries.

        A known runner that the list lacks is treated as removed, unless its
        entry is newer than the list.

        :param revision: the store's revision of the list.
        :returns: the incarnations that this list marks as leaving or removes.
        """
        self.confirm()
        ended = []
        present = set()
        for entry in entries:
            present.add(entry.name)
            ended += self.apply_entry(entry)
        missing = [
            name
            for name, runner in self._runners.items()
            if name not in present and runner.revision <= revision
        ]
        for name in missing:
            ended += self.apply_removal(name, revision)
        return ended

    def apply_entry(self, entry: runners_.RunnerEntry) -> list[str]:
        """Apply one entry from the store or a peer, unless it is outdated.

        :returns: the incarnations that this entry marks as leaving or ends.
        """
        if self._tombstones.get(entry.name, -1) >= entry.revision:
            return []
        self._revision = max(self._revision, entry.revision)
        known = self._runners.get(entry.name)
        runner = entry_precedence.resolve(known, entry)
        if known is not None and not entry_precedence.supersedes(
            known, runner
        ):
            # An entry with the known revision does not cancel a pending
            # removal: a peer that has not received the removal sends the
            # entry from before it.
            return []
        self._tombstones.pop(entry.name, None)
        self._pending_removals.pop(entry.name, None)
        self._runners[entry.name] = runner
        self._by_id[runner.runner_id] = runner
        self._checksum = None
        was_marked = self._marks.entry_changed(runner)
        if (
            known is not None
            and not (known.leaving or was_marked)
            and (runner.leaving or known.runner_id != runner.runner_id)
        ):
            self._add_notice(known, runner.revision)
        ended = []
        if known is not None and known.runner_id != runner.runner_id:
            # The runner restarted, so the previous incarnation has ended.
            del self._by_id[known.runner_id]
            ended.append(known.runner_id)
            known = None
        if runner.leaving and not (
            known is not None and (known.leaving or was_marked)
        ):
            ended.append(runner.runner_id)
        return ended

    def apply_removal(self, name: str, revision: int) -> list[str]:
        """Handle the removal of an entry from the store.

        A leaving runner is removed at once. The removal of any other runner
        is delayed, as the runner may be alive and its entry may have expired
        during an outage of the store.

        :param revision: the store's revision of the removal.
        :returns: the incarnation that is removed now, if any.
        """
        runner = self._runners.get(name)
        if runner is None or runner.revision > revision:
            # A peer has sent an entry that was written after the removal.
            return []
        if runner.leaving:
            return self._remove(name, revision)
        now = self._clock.now()
        until = max(self._grace_until, now + REMOVAL_HOLD_S)
        self._pending_removals.setdefault(
            name, _PendingRemoval(now, until, revision)
        )
        self._extend_mass_removal()
        return []

    def _extend_mass_removal(self) -> None:
        ready = sum(not r.leaving for r in self._runners.values())
        if len(self._pending_removals) < max(
            MASS_REMOVAL_MIN_COUNT, MASS_REMOVAL_SHARE * ready
        ):
            return
        for pending in self._pending_removals.values():
            # Measured from each runner's own removal, so that later removals
            # don't extend the delay of earlier ones.
            until = pending.removed_at + self._mass_removal_hold_s
            pending.until = max(pending.until, until)

    def mark_ended(self, runner_id: str) -> list[str]:
        """Remove an incarnation at whose address another process answers.

        :returns: the incarnation's id, if it was known.
        """
        runner = self._by_id.get(runner_id)
        if runner is None:
            return []
        return self._remove(runner.name, runner.revision)

    def is_applicable(self, notice: notices.Notice) -> bool:
        """Whether a notice tells something new of a known incarnation."""
        known = self._runners.get(notice.name)
        return self._marks.is_applicable(known, notice)

    def is_outdated(self, notice: notices.Notice) -> bool:
        """Whether a newer entry shows that the runner takes work again.

        Such a notice must not reach VMs that don't have the entry yet.
        """
        known = self._runners.get(notice.name)
        return (
            known is not None
            and known.born == notice.born
            and not known.leaving
            and known.revision > notice.revision
        )

    def take_notices(self) -> list[notices.Notice]:
        """Take the notices for the other VMs of what entries have shown."""
        taken = list(self._new_notices)
        self._new_notices.clear()
        return taken

    def mark_leaving(self, notice: notices.Notice) -> list[str]:
        """Mark a runner as leaving until its entry arrives.

        An entry with the revision of the notice or a higher one ends the
        mark, as do a restart and :data:`notices.MARK_S`.

        :returns: the incarnation, if it was not marked or leaving before.
        """
        if not self.is_applicable(notice):
            return []
        known = self._runners[notice.name]
        return [known.runner_id] if self._marks.add(known, notice) else []

    def expire_marks(self) -> bool:
        """End the marks that no entry confirmed; return whether any ended."""
        return self._marks.expire()

    def _add_notice(self, known: runners_.Runner, revision: int) -> None:
        self._new_notices.append(
            notices.Notice(known.name, known.born, revision)
        )

    def tick(self) -> list[str]:
        """Remove the runners whose delayed removal is due.

        :returns: the removed incarnations.
        """
        now = self._clock.now()
        due = [
            (name, pending.revision)
            for name, pending in self._pending_removals.items()
            if pending.until <= now
        ]
        return [
            runner_id
            for name, revision in due
            for runner_id in self._remove(name, revision)
        ]

    def changes_after(
        self, revision: int
    ) -> tuple[list[runners_.Runner], dict[str, int]]:
        """The changes after a revision, to send to a peer.

        :returns: the changed runners, and the revision of each removal by the
            runner's name.
        """
        entries = [r for r in self._runners.values() if r.revision > revision]
        gone = {
            name: at for name, at in self._tombstones.items() if at > revision
        }
        return entries, gone

    def merge_changes(
        self,
        entries: typing.Iterable[runners_.Runner],
        gone: typing.Mapping[str, int],
    ) -> list[str]:
        """Merge the result of a peer's :meth:`changes_after`.

        A peer's removals are applied without delay.

        :param gone: the revision of each removal, by the runner's name.
        :returns: the incarnations that are leaving or removed as a result.
        """
        ended = [
            name for runner in entries for name in self.apply_entry(runner)
        ]
        for name, revision in gone.items():
            known = self._runners.get(name)
            if known is not None and known.revision <= revision:
                ended += self._remove(name, revision)
            elif known is None:
                # The removal of an unknown runner is recorded, too. Otherwise
                # this VM's revision would stay behind the peer's, and it
                # would request the same changes after each record.
                before = self._tombstones.get(name, revision)
                self._tombstones[name] = max(before, revision)
                self._revision = max(self._revision, revision)
        return ended

    def _remove(self, name: str, revision: int) -> list[str]:
        self._pending_removals.pop(name, None)
        runner = self._runners.pop(name, None)
        if runner is None:
            return []
        del self._by_id[runner.runner_id]
        was_marked = self._marks.remove(name)
        if not (runner.leaving or was_marked):
            self._add_notice(runner, max(revision, runner.revision))
        self._tombstones[name] = max(revision, runner.revision)
        self._revision = max(self._revision, revision)
        self._checksum = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))
        return [runner.runner_id]
