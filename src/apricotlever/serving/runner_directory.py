"""This VM's view of the runners that the platform lists in its store.

The directory merges the store's entries with those that peers, the other entry
VMs, have received. An entry is missing if its runner has ended, but also if
an outage of the store kept the runner from renewing it. So the removal of an
entry is applied only after a delay, unless its runner had announced that it is
leaving.
"""

import typing

import xxhash

from .. import clock as clocks

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
    :func:`_supersedes` has the exceptions. A revision is the store's number of
    a change.

    :param drain_s: the time within which a runner that has left must stop
        receiving work, in seconds.
    """

    __slots__ = (
        "_by_id",
        "_checksum",
        "_clock",
        "_pending_removals",
        "_tombstones",
        "_mass_removal_hold_s",
        "_grace_until",
        "_revision",
        "_runners",
    )

    def __init__(
        self, clock: clocks.Clock, drain_s: float = REAPPEAR_TIMEOUT_S
    ) -> None:
        self._clock = clock
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
        self._checksum: int | None = None
        self._revision = 0
        self._grace_until = float("-inf")

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
        return [r for r in self._runners.values() if not r.is_placeholder]

    def available_runners(self, service: str) -> list[runners_.Runner]:
        """The runners of a service that accept new work."""
        return [
            runner
            for runner in self._runners.values()
            if runner.service == service and not runner.leaving
        ]

    def get(self, runner_id: str) -> runners_.Runner | None:
        """The incarnation with this id; None if unknown or removed."""
        return self._by_id.get(runner_id)

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
        runner = _resolve_entry(known, entry)
        if known is not None and not _supersedes(known, runner):
            # An entry with the known revision does not cancel a pending
            # removal: a peer that has not received the removal sends the
            # entry from before it.
            return []
        self._tombstones.pop(entry.name, None)
        self._pending_removals.pop(entry.name, None)
        self._runners[entry.name] = runner
        self._by_id[runner.runner_id] = runner
        self._checksum = None
        ended = []
        if known is not None and known.runner_id != runner.runner_id:
            # The runner restarted, so the previous incarnation has ended.
            del self._by_id[known.runner_id]
            ended.append(known.runner_id)
            known = None
        if runner.leaving and not (known is not None and known.leaving):
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
        self._tombstones[name] = max(revision, runner.revision)
        self._revision = max(self._revision, revision)
        self._checksum = None
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.pop(next(iter(self._tombstones)))
        return [runner.runner_id]


def _resolve_entry(
    known: runners_.Runner | None, entry: runners_.RunnerEntry
) -> runners_.Runner:
    """The state of a runner after its entry has changed.

    :param known: the state before; None for an unknown runner.
    """
    if isinstance(entry, runners_.UnreadableEntry):
        if known is None:
            return runners_.Runner.placeholder(entry.name, entry.revision)
        return known.withdraw(entry.revision)
    if known is None:
        return entry
    if entry.withdrawn or (known.born and not entry.born):
        # A runner that reports its start always reports it, so another
        # program wrote this entry.
        return known.withdraw(entry.revision)
    return entry


def _supersedes(known: runners_.Runner, update: runners_.Runner) -> bool:
    """Whether an update takes precedence over the known state of a runner.

    The store may apply a write long after it was sent. A late heartbeat has a
    higher revision than the entry that it overwrites. Comparing revisions
    alone would restore an incarnation that has ended, or send work to one
    that has announced that it is leaving.
    """
    later = update.revision > known.revision
    if update.withdrawn:
        return later
    if known.withdrawn:
        return later and update.born >= known.born
    if known.born != update.born:
        return update.born > known.born if known.born else later
    if known.leaving != update.leaving and known.sequence != update.sequence:
        return update.sequence > known.sequence
    return later
