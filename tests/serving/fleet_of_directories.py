"""VMs' directories, a store's history, and news that travels at random."""

import random

from apricotlever import clock as clocks
from apricotlever.serving import directory as directories
from apricotlever.serving import listeners
from apricotlever.serving import runners
from apricotlever.serving import store

STEP_S = 0.1
#: How long two directories differ before one reads all of the other's.
DIFFERENT_S = 0.3
EVERYTHING = -1


class Said:
    """What a runner's entry says.

    :param readable: whether the runner wrote it, and nobody spoiled it.
    """

    def __init__(self, leaving, born, sequence, readable=True):
        self.leaving = leaving
        self.born = born
        self.sequence = sequence
        self.readable = readable


class History:
    """What a store wrote down, by revision."""

    def __init__(self):
        self.revision = 0
        self.entries = {}
        self.changes = []
        #: What the runner that lives under a name says of itself.
        self.living = {}

    def write(self, name, leaving=False):
        """Write an entry."""
        before = self.living.get(name, Said(False, 1, 0))
        self._say(name, Said(leaving, before.born, before.sequence + 1))

    def restart(self, name):
        """A runner starts again under its name."""
        self._say(name, Said(False, self.living[name].born + 1, 1))

    def spoil(self, name):
        """Somebody writes over an entry what can't be read."""
        said = self.living[name]
        self._put(name, Said(False, said.born, 0, readable=False))

    def write_late(self, name, said):
        """A heartbeat is carried out long after it was sent."""
        self._put(name, said)

    def _say(self, name, said):
        self.living[name] = said
        self._put(name, said)

    def _put(self, name, said):
        self.revision += 1
        self.entries[name] = said
        self.changes.append((self.revision, name, said, False))

    def remove(self, name):
        """Remove an entry; the change names the entry's last revision."""
        self.revision += 1
        said = self.entries.pop(name)
        self.changes.append((self.revision, name, said, True))

    def after(self, revision):
        """What a watch brings."""
        found = []
        last = {}
        for at, name, said, deleted in self.changes:
            shown = last.get(name, at) if deleted else at
            last[name] = at
            if at > revision:
                stored = store.StoredObject(name, shown, said, None)
                found.append(store.Change(stored, deleted))
        return store.Changes(found, self.revision)


class Platform:
    """Reads entries.

    :param naive: take a runner for the same one as long as its name is.
    """

    def __init__(self, naive=False):
        self._naive = naive
        #: The true start of each entry that was read, by name and revision.
        self.born = {}

    def runner(self, stored):
        """The runner of an entry."""
        said = stored.spec
        self.born[stored.name, stored.revision] = said.born
        if not said.readable:
            return runners.Unreadable(stored.name, stored.revision, "spoiled")
        return runners.Runner(
            stored.name,
            "s",
            "10.0.0.1",
            80,
            "dc",
            4,
            said.leaving,
            revision=stored.revision,
            born=0 if self._naive else said.born,
            sequence=0 if self._naive else said.sequence,
        )


class Vm:
    """One VM's directory, its watch, and when it differed from others'."""

    def __init__(self, clock, history, platform):
        self.directory = directories.Directory(clock)
        self._platform = platform
        self._entries = listeners.Entries(
            self.directory, self._platform, lambda ended: None, clock
        )
        #: What is kept of each incarnation, made when it was first seen: the
        #: start of the process that it is about.
        self.kept = {}
        self._history = history
        self._revision = 0
        self._differed = {}

    def read(self):
        """Read what the watch has."""
        self._entries.changed(self._history.after(self._revision))
        self._revision = self._history.revision

    def keep(self):
        """Make what is kept of new runners, drop what is of gone ones."""
        listed = {r.runner_id: r for r in self.directory.runners}
        self.kept = {
            runner_id: self.kept.get(
                runner_id, self._platform.born[runner.name, runner.revision]
            )
            for runner_id, runner in listed.items()
        }

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
    :param platform: reads the entries.
    :param restarts: whether runners start again under their names, too.
    """

    def __init__(self, seed, vms, count, platform=None, restarts=False):
        self._restarts = random.Random(seed) if restarts else None
        platform = platform or Platform()
        self._late = []
        self._rng = random.Random(seed)
        self._clock = clocks.ManualClock()
        self.history = History()
        for number in range(count):
            self.history.write(f"r{number}")
        self._next = count
        self.vms = [
            Vm(self._clock, self.history, platform) for _ in range(vms)
        ]
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
                self._start_again()
            self._travel(random_news)
            for vm in self.vms:
                vm.keep()

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
            for name in [n for n, said in entries.items() if not said.leaving]:
                self.history.remove(name)
                self._lapsed.append(name)
        elif drawn < 0.12:
            vm = rng.choice(self.vms)
            self._away[vm] = self._clock.now() + rng.uniform(0.5, 6.0)

    def _start_again(self):
        """Runners start again, some twice; their last heartbeats come late.

        Entries are spoiled in between.
        """
        rng, history = self._restarts, self.history
        if rng is None:
            return
        now = self._clock.now()
        due = [late for late in self._late if late[0] <= now]
        for late in due:
            self._late.remove(late)
            _, name, said = late
            if name in history.entries:
                history.write_late(name, said)
        listed = sorted(history.entries)
        if listed and rng.random() < 0.08:
            name = rng.choice(listed)
            if rng.random() < 0.5:
                at = now + rng.uniform(0.1, 2.0)
                self._late.append((at, name, history.living[name]))
            for _ in range(rng.choice((1, 1, 2))):
                history.restart(name)
        if listed and rng.random() < 0.04:
            history.spoil(rng.choice(listed))

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
        self._late.clear()
        for name, said in self.history.entries.items():
            if said is not self.history.living[name]:
                # The living one's next heartbeat.
                self.history.write(name, self.history.living[name].leaving)
