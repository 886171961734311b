"""A simulated fleet of VMs' runner directories, which follow one store.

Changes in the store are random, as are the times when VMs receive them.
"""

import random

from apricotlever import clock as clocks
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners
from apricotlever.serving import store
from apricotlever.serving import store_listeners
from apricotlever.vms import notices

STEP_S = 0.1
#: How long two directories differ before one fetches all changes of the
#: other, in seconds.
MISMATCH_S = 0.3
#: The revision from which all changes are fetched.
ALL_REVISIONS = -1


class EntryState:
    """The state of a runner in its entry.

    :param readable: false if another program has overwritten the entry.
    """

    def __init__(self, leaving, born, sequence, readable=True):
        self.leaving = leaving
        self.born = born
        self.sequence = sequence
        self.readable = readable


class History:
    """The entries in the store, and all changes by revision."""

    def __init__(self):
        self.revision = 0
        self.entries = {}
        self.changes = []
        #: The latest state of the runner that now runs under each name.
        self.current_states = {}

    def write(self, name, leaving=False):
        """Write an entry with the next sequence number."""
        before = self.current_states.get(name, EntryState(False, 1, 0))
        self._update(
            name, EntryState(leaving, before.born, before.sequence + 1)
        )

    def restart(self, name):
        """Restart a runner under its name."""
        self._update(
            name, EntryState(False, self.current_states[name].born + 1, 1)
        )

    def corrupt(self, name):
        """Overwrite an entry with unreadable content."""
        state = self.current_states[name]
        self._put(name, EntryState(False, state.born, 0, readable=False))

    def write_delayed(self, name, state):
        """Apply a heartbeat long after it was sent."""
        self._put(name, state)

    def _update(self, name, state):
        self.current_states[name] = state
        self._put(name, state)

    def _put(self, name, state):
        self.revision += 1
        self.entries[name] = state
        self.changes.append((self.revision, name, state, False))

    def remove(self, name):
        """Remove an entry; the change names the entry's last revision."""
        self.revision += 1
        state = self.entries.pop(name)
        self.changes.append((self.revision, name, state, True))

    def changes_after(self, revision):
        """The changes after a revision, as a watch returns them."""
        found = []
        last = {}
        for at, name, state, deleted in self.changes:
            shown = last.get(name, at) if deleted else at
            last[name] = at
            if at > revision:
                stored = store.StoredObject(name, shown, state, None)
                found.append(store.Change(stored, deleted))
        return store.Changes(found, self.revision)


class RunnerEntryDecoder:
    """A dialect of the platform that decodes entries of runners.

    :param naive: whether to identify a runner by its name alone.
    """

    def __init__(self, naive=False):
        self._naive = naive
        #: The true start number in each entry that was read, by name and
        #: revision.
        self.born = {}

    def parse_runner(self, stored):
        """Decode the runner of an entry."""
        state = stored.spec
        self.born[stored.name, stored.revision] = state.born
        if not state.readable:
            return runners.UnreadableEntry(
                stored.name, stored.revision, "spoiled"
            )
        return runners.Runner(
            stored.name,
            "s",
            "10.0.0.1",
            80,
            "dc",
            4,
            state.leaving,
            revision=stored.revision,
            born=0 if self._naive else state.born,
            sequence=0 if self._naive else state.sequence,
        )


class Vm:
    """One VM's directory and its watch of the store."""

    def __init__(self, clock, history, platform):
        self.directory = directories.RunnerDirectory(clock)
        self.notices = notices.NoticeBoard(clock)
        self.notices.connect(self.directory)
        #: Number of times at which a notice marked a runner.
        self.marked_count = 0
        self._platform = platform
        self._entries = store_listeners.RunnerEntryListener(
            self.directory, self._platform, lambda ended: None, clock
        )
        #: State that the VM creates for a runner when it first sees it, by
        #: incarnation: here the true start number of the runner's process.
        self.incarnation_states = {}
        self._history = history
        self._revision = 0
        #: Until when the VM can't fetch changes from the others.
        self.fetches_fail_until = 0.0
        #: When the directory began to differ from that of another VM.
        self._differs_since = {}

    def read_changes(self):
        """Read the changes from the store's watch."""
        self._entries.changed(self._history.changes_after(self._revision))
        self._revision = self._history.revision

    def update_states(self):
        """Create state for new runners, and drop that of removed ones."""
        listed = {r.runner_id: r for r in self.directory.runners}
        self.incarnation_states = {
            runner_id: self.incarnation_states.get(
                runner_id, self._platform.born[runner.name, runner.revision]
            )
            for runner_id, runner in listed.items()
        }

    def merge_from(self, other, now):
        """Receive another VM's record, and fetch missing changes.

        As long as fetches fail, only notices arrive.
        """
        mine, theirs = self.directory, other.directory
        for notice in self.notices.receive(other.notices.due()):
            self.marked_count += len(mine.mark_leaving(notice))
        if now < self.fetches_fail_until:
            return
        if theirs.revision > mine.revision:
            mine.merge_changes(*theirs.changes_after(mine.revision))
        if theirs.checksum == mine.checksum:
            self._differs_since.pop(other, None)
        elif now - self._differs_since.setdefault(other, now) >= MISMATCH_S:
            del self._differs_since[other]
            mine.merge_changes(*theirs.changes_after(ALL_REVISIONS))


class SimulatedFleet:
    """The VMs and the store.

    :param seed: determines the random changes and when VMs receive them.
    :param vm_count: the number of VMs.
    :param runner_count: the number of runners at the start.
    :param platform: decodes the entries.
    :param restarts: whether runners also restart under their names.
    """

    def __init__(
        self, seed, vm_count, runner_count, platform=None, restarts=False
    ):
        self._restarts = random.Random(seed) if restarts else None
        platform = platform or RunnerEntryDecoder()
        #: Delayed heartbeats: when they are applied, the name and the state.
        self._late_heartbeats = []
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self.history = History()
        for number in range(runner_count):
            self.history.write(f"r{number}")
        self._next_number = runner_count
        self.vms = [
            Vm(self._clock, self.history, platform) for _ in range(vm_count)
        ]
        for vm in self.vms:
            vm.read_changes()
        #: When the watch of a VM that receives no changes resumes.
        self._resumes_at = {}
        #: Runners whose entries have expired and will be written again.
        self._expired = []

    def run(self, seconds, random_changes):
        """Advance the time, with or without random changes in the store."""
        for _ in range(round(seconds / STEP_S)):
            self._clock.advance(STEP_S)
            if random_changes:
                self._apply_random_change()
                self._restart_runners()
            self._deliver(random_changes)
            for vm in self.vms:
                vm.update_states()

    def _apply_random_change(self):
        entries, rng = self.history.entries, self._rng
        for name in [n for n in self._expired if rng.random() < 0.2]:
            self._expired.remove(name)
            self.history.write(name)
        draw = rng.random()
        if draw < 0.03:
            self.history.write(f"r{self._next_number}")
            self._next_number += 1
        elif draw < 0.06 and entries:
            self.history.write(rng.choice(sorted(entries)), leaving=True)
        elif draw < 0.09 and entries:
            self.history.remove(rng.choice(sorted(entries)))
        elif draw < 0.10:
            for name in [
                n for n, state in entries.items() if not state.leaving
            ]:
                self.history.remove(name)
                self._expired.append(name)
        elif draw < 0.12:
            vm = rng.choice(self.vms)
            self._resumes_at[vm] = self._clock.now() + rng.uniform(0.5, 6.0)
        elif draw < 0.14:
            vm = rng.choice(self.vms)
            vm.fetches_fail_until = self._clock.now() + rng.uniform(0.5, 3.0)

    def _restart_runners(self):
        """Restart runners, some twice, and corrupt some entries.

        The last heartbeat of a restarted runner may be applied late.
        """
        rng, history = self._restarts, self.history
        if rng is None:
            return
        now = self._clock.now()
        due = [
            heartbeat
            for heartbeat in self._late_heartbeats
            if heartbeat[0] <= now
        ]
        for heartbeat in due:
            self._late_heartbeats.remove(heartbeat)
            _, name, state = heartbeat
            if name in history.entries:
                history.write_delayed(name, state)
        listed = sorted(history.entries)
        if listed and rng.random() < 0.08:
            name = rng.choice(listed)
            if rng.random() < 0.5:
                at = now + rng.uniform(0.1, 2.0)
                self._late_heartbeats.append(
                    (at, name, history.current_states[name])
                )
            for _ in range(rng.choice((1, 1, 2))):
                history.restart(name)
        if listed and rng.random() < 0.04:
            history.corrupt(rng.choice(listed))

    def _deliver(self, random_changes):
        now, rng = self._clock.now(), self._rng
        for vm in self.vms:
            is_paused = random_changes and self._resumes_at.get(vm, 0.0) > now
            if not is_paused and rng.random() < 0.6:
                vm.read_changes()
            others = [other for other in self.vms if other is not vm]
            vm.merge_from(rng.choice(others), now)
            vm.directory.tick()

    def restore_entries(self):
        """Restore expired and outdated entries, and drop late heartbeats."""
        for name in self._expired:
            self.history.write(name)
        self._expired.clear()
        self._late_heartbeats.clear()
        for name, state in self.history.entries.items():
            if state is not self.history.current_states[name]:
                # The next heartbeat of the current process.
                self.history.write(
                    name, self.history.current_states[name].leaving
                )
