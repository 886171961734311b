"""VMs' directories, a store's history, and news that travels at random."""

import random

from apricotlever import clock as clocks
from apricotlever.serving import listeners
from apricotlever.serving import runners
from apricotlever.serving import store

STEP_S = 0.1
#: How long two directories differ before one reads all of the other's.
DIFFERENT_S = 0.3
EVERYTHING = -1


class History:
    """What a store wrote down, by revision."""

    def __init__(self):
        self.revision = 0
        self.entries = {}
        self.changes = []

    def write(self, name, leaving=False):
        """Write an entry."""
        self.revision += 1
        self.entries[name] = leaving
        self.changes.append((self.revision, name, leaving, False))

    def remove(self, name):
        """Remove an entry; the change names the entry's last revision."""
        self.revision += 1
        leaving = self.entries.pop(name)
        self.changes.append((self.revision, name, leaving, True))

    def after(self, revision):
        """What a watch brings."""
        found = []
        last = {}
        for at, name, leaving, deleted in self.changes:
            shown = last.get(name, at) if deleted else at
            last[name] = at
            if at > revision:
                stored = store.StoredObject(name, shown, leaving, None)
                found.append(store.Change(stored, deleted))
        return store.Changes(found, self.revision)


class _Platform:
    def runner(self, stored):
        """The runner of an entry."""
        return runners.Runner(
            stored.name,
            "s",
            "10.0.0.1",
            80,
            "dc",
            4,
            stored.spec,
            revision=stored.revision,
        )


class Vm:
    """One VM's directory, its watch, and when it differed from others'."""

    def __init__(self, clock, history):
        self.directory = runners.Directory(clock)
        self._entries = listeners.Entries(
            self.directory, _Platform(), lambda ended: None
        )
        self._history = history
        self._revision = 0
        self._differed = {}

    def read(self):
        """Read what the watch has."""
        self._entries.changed(self._history.after(self._revision))
        self._revision = self._history.revision

    def hear(self, other, now):
        """Hear another VM's record, and fetch what is missing."""
        mine, theirs = self.directory, other.directory
        if theirs.revision > mine.revision:
            mine.heard(*theirs.news_after(mine.revision))
        if theirs.checksum == mine.checksum:
            self._differed.pop(other, None)
        elif now - self._differed.setdefault(other, now) >= DIFFERENT_S:
            del self._differed[other]
            mine.heard(*theirs.news_after(EVERYTHING))


class Fleet:
    """The VMs, and random news.

    :param seed: of the news and of its ways.
    """

    def __init__(self, seed, vms, count):
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self.history = History()
        for number in range(count):
            self.history.write(f"r{number}")
        self._next = count
        self.vms = [Vm(self._clock, self.history) for _ in range(vms)]
        for vm in self.vms:
            vm.read()
        #: VMs whose watch waits, to when it brings what it has.
        self._away = {}
        self._lapsed = []

    def run(self, seconds, random_news):
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self._clock.advance(STEP_S)
            if random_news:
                self._happen()
            self._travel(random_news)

    def _happen(self):
        entries, rng = self.history.entries, self._rng
        for name in [n for n in self._lapsed if rng.random() < 0.2]:
            self._lapsed.remove(name)
            self.history.write(name)
        drawn = rng.random()
        if drawn < 0.03:
            self.history.write(f"r{self._next}")
            self._next += 1
        elif drawn < 0.06 and entries:
            self.history.write(rng.choice(sorted(entries)), leaving=True)
        elif drawn < 0.09 and entries:
            self.history.remove(rng.choice(sorted(entries)))
        elif drawn < 0.10:
            for name in [n for n, leaving in entries.items() if not leaving]:
                self.history.remove(name)
                self._lapsed.append(name)
        elif drawn < 0.12:
            vm = rng.choice(self.vms)
            self._away[vm] = self._clock.now() + rng.uniform(0.5, 6.0)

    def _travel(self, random_news):
        now, rng = self._clock.now(), self._rng
        for vm in self.vms:
            away = random_news and self._away.get(vm, 0.0) > now
            if not away and rng.random() < 0.6:
                vm.read()
            others = [other for other in self.vms if other is not vm]
            vm.hear(rng.choice(others), now)
            vm.directory.tick()

    def settle(self):
        """End what is under way in the store: lapsed entries come back."""
        for name in self._lapsed:
            self.history.write(name)
        self._lapsed.clear()
