"""A simulation of calls with prompt parts that crash runners.

Entry VMs share crashes by records of which some are lost. Time is virtual and
goes on in steps.
"""

import itertools
import random

from apricotlever import clock as clocks
from apricotlever.runners import call_features
from apricotlever.runners import crash_blocklist
from apricotlever.runners import quarantine

STEP_S = 0.05
RECORD_INTERVAL_S = 0.2
#: Every so many records are whole ones.
WHOLE_RECORD_EVERY = 5
LOST_RECORD_SHARE = 0.2
#: Shortest and longest time in which calls run; a bad one crashes its runner.
SOUND_RUN_S = (0.2, 2.0)
BAD_RUN_S = (0.05, 0.25)
RESTART_S = (2.0, 4.0)
MAX_ATTEMPTS = 3
CONTACT_S = 3.0
#: Crashes of a part after which its calls must be kept away.
CRASHES_ALLOWED = 5
DATA_CENTRES = ("a", "b", "c")


class Kind:
    """A kind of call.

    :param parts: the parts that its calls share.
    :param rate: calls a second.
    :param bad_part: the part that crashes runners; "" for none.
    :param since: when it begins to be sent, in seconds.
    :param bad_since: when the part begins to crash runners.
    """

    def __init__(
        self,
        parts,
        rate,
        bad_part="",
        since=0.0,
        bad_since=0.0,
        customer="c",
        repeats=False,
    ):
        self.parts = parts
        self.rate = rate
        self.bad_part = bad_part
        self.since = since
        self.bad_since = bad_since
        self.customer = customer
        self.repeats = repeats
        #: When each call came to a VM, and whether it was let run.
        self.admissions = []

    def share_admitted(self, since, until=float("inf")):
        """The share of a time's calls that a VM let run at once."""
        found = [ok for at, ok in self.admissions if since <= at < until]
        return sum(found) / len(found) if found else None


class Call:
    """One call.

    :param vm: the number of its VM.
    """

    def __init__(self, kind, features, vm):
        self.kind = kind
        self.features = features
        self.vm = vm
        self.attempts = 0
        self.ends_at = 0.0
        self.crashes = False


class Runner:
    """A runner, until it crashes."""

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.calls = []


class Fleet:
    """VMs, runners and kinds of calls.

    :param make: makes the blocklist of a VM, as
        :class:`.crash_blocklist.CrashBlocklist`.
    """

    def __init__(
        self,
        seed,
        kinds,
        vms=4,
        runners=9,
        make=crash_blocklist.CrashBlocklist,
    ):
        self.clock = clocks.ManualClock(0.0)
        self.rng = random.Random(seed)
        self.kinds = kinds
        self._make = make
        self._names = [f"vm-{n}" for n in range(vms)]
        self.vms = [self._make_vm(name) for name in self._names]
        #: When each VM's process started again, in seconds.
        self._started_at = [float("-inf")] * vms
        self._numbers = itertools.count()
        self.up = [
            Runner(f"r-{next(self._numbers)}", DATA_CENTRES[n % 3])
            for n in range(runners)
        ]
        self._runner_count = runners
        #: Pairs of when a runner is back, and its data centre.
        self._down = []
        self._records = []
        #: When calls with a bad part reached runners, of VMs in touch, and
        #: when they crashed them, by part.
        self.bad_runs = {}
        self.bad_crashes = {}
        self._tell_sizes()

    def late_runs(self, part):
        """Runs with a part later than the fifth crash and the contact time."""
        crashes = self.bad_crashes.get(part, [])
        if len(crashes) < CRASHES_ALLOWED:
            return 0
        since = crashes[CRASHES_ALLOWED - 1] + CONTACT_S
        return sum(at > since for at in self.bad_runs[part])

    def restart_vm(self, number):
        """Let a VM's process be killed and start again, with its calls."""
        self.vms[number] = self._make_vm(self._names[number])
        self._started_at[number] = self.clock.now()
        for runner in self.up:
            runner.calls = [c for c in runner.calls if c.vm != number]

    def kill(self, count):
        """End some runners at once, whatever they run."""
        for runner in self.rng.sample(self.up, min(count, len(self.up))):
            self._crash(runner)

    def run(self, until):
        """Play until a time."""
        while self.clock.now() < until:
            self.clock.advance(STEP_S)
            now = self.clock.now()
            self._restart_runners(now)
            for runner in list(self.up):
                self._end_calls(runner, now)
            for kind in self.kinds:
                if now >= kind.since and (
                    self.rng.random() < kind.rate * STEP_S
                ):
                    self._begin(kind)
            if round(now / STEP_S) % round(RECORD_INTERVAL_S / STEP_S) == 0:
                self._exchange()

    def _make_vm(self, name):
        vm = self._make(self.clock, name)
        vm.set_vms(self._names)
        return vm

    def _tell_sizes(self):
        sizes = {}
        for runner in self.up:
            sizes[runner.data_centre] = sizes.get(runner.data_centre, 0) + 1
        for vm in self.vms:
            vm.set_sizes(sizes)

    def _begin(self, kind):
        number = next(self._numbers)
        body = b"" if kind.repeats else b"%d" % number
        features = call_features.CallFeatures(
            quarantine.fingerprint(
                "", kind.customer, body, ",".join(kind.parts)
            ),
            kind.customer,
            kind.parts,
        )
        call = Call(kind, features, self.rng.randrange(len(self.vms)))
        admitted = self._send(call)
        kind.admissions.append((self.clock.now(), admitted))

    def _send(self, call):
        if not self.up or call.attempts == MAX_ATTEMPTS:
            return bool(self.up)
        block = self.vms[call.vm].admit(call.features, call)
        if block is not None and not block.is_trial:
            return False
        now = self.clock.now()
        kind = call.kind
        call.attempts += 1
        call.crashes = bool(kind.bad_part) and now >= kind.bad_since
        in_touch = now - self._started_at[call.vm] >= CONTACT_S
        if call.crashes and in_touch:
            self.bad_runs.setdefault(kind.bad_part, []).append(now)
        run_s = BAD_RUN_S if call.crashes else SOUND_RUN_S
        call.ends_at = now + self.rng.uniform(*run_s)
        self.rng.choice(self.up).calls.append(call)
        return True

    def _end_calls(self, runner, now):
        for call in [c for c in runner.calls if c.ends_at <= now]:
            if runner not in self.up:
                return
            if call.crashes:
                part = call.kind.bad_part
                self.bad_crashes.setdefault(part, []).append(now)
                self._crash(runner)
                return
            runner.calls.remove(call)
            features = call.features
            self.vms[call.vm].call_answered(lambda f=features: f, 100)

    def _crash(self, runner):
        self.up.remove(runner)
        back_at = self.clock.now() + self.rng.uniform(*RESTART_S)
        self._down.append((back_at, runner.data_centre))
        for call in runner.calls:
            vm = self.vms[call.vm]
            vm.connection_broken(runner.name, call.features, call)
        for number in sorted({call.vm for call in runner.calls}):
            vm = self.vms[number]
            vm.runner_crashed(runner.name, runner.data_centre, False)
        self._tell_sizes()
        for call in runner.calls:
            self._send(call)

    def _restart_runners(self, now):
        back = [each for each in self._down if each[0] <= now]
        self._down = [each for each in self._down if each[0] > now]
        for _, data_centre in back:
            name = f"r-{next(self._numbers)}"
            self.up.append(Runner(name, data_centre))
        if back:
            self._tell_sizes()

    def _exchange(self):
        """Deliver the records of the last interval, and write new ones."""
        for sender, record in self._records:
            for receiver, vm in enumerate(self.vms):
                if receiver != sender and (
                    self.rng.random() >= LOST_RECORD_SHARE
                ):
                    vm.merge_record(self._names[sender], record)
        self._records = []
        for number, vm in enumerate(self.vms):
            vm.tick()
            turn = round(self.clock.now() / RECORD_INTERVAL_S) + number
            record = vm.next_record(turn % WHOLE_RECORD_EVERY == 0)
            if record is not None:
                self._records.append((number, record))
