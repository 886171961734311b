"""Entry VMs that tell each other over a network on a clock set by hand."""

import heapq
import itertools
import random

from apricotlever import clock as clocks
from apricotlever.serving import peer_datagrams
from apricotlever.vms import peer_table
from apricotlever.vms import record_aggregation
from apricotlever.vms import record_exchange
from apricotlever.vms import vm_records

STEP_S = 0.01
#: One way, in seconds.
DELAY_S = 0.0014
#: Bytes a second that a VM can send: of the slowest links.
LINK_BYTES = 625000
#: Of news of a VM that are gathered into one record.
GATHER_S = 0.02
#: Bytes of a datagram's headers.
HEADERS = 28
SEEDS = 3
#: Between two looks at what VMs know, in seconds.
SAMPLE_S = 0.05
PROBE = "probe-"
#: VMs of which each change is followed.
PROBES = 12


class Vm:
    """An entry VM, whose records are made here.

    :param number: of the VM, from 1 on.
    """

    def __init__(self, world, number, data_centre, incarnation=1):
        self.world = world
        self.number = number
        self.name = f"edge-{data_centre}-{number}"
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.address = f"10.{number // 250}.0.{number % 250}:7000"
        self.in_flight = {}
        self.used = {}
        #: When each of this VM's changes came, the latest last.
        self.changes = []
        #: Times of day at which it does its repeated work, by name.
        self.phase_s = world.rng.random() * vm_records.RECORD_INTERVAL_S
        self.slow_until = 0.0
        self.link_free_at = 0.0
        self.inbox = []
        self.told_soon_at = None
        #: What it was told of each process's used units.
        self.heard_used = {}
        self.table = world.table(
            world.clock,
            random.Random(number),
            self.name,
            self.address,
            world.seeds,
        )
        self.news = world.news(
            world.clock,
            random.Random(number),
            self.name,
            data_centre,
            self.table,
            self,
        )

    @property
    def process(self):
        """Names the process."""
        return f"{self.name}#{self.incarnation}"

    @property
    def others(self):
        """The living VMs that it hears."""
        return {digest.vm for digest in self.table.alive()}

    def record(self, number, known, whole, aggregator):
        """This VM's next record."""
        return vm_records.VmRecord(
            self.name,
            self.incarnation,
            number,
            self.address,
            f"{self.address[:-5]}:80",
            self.data_centre,
            ready=True,
            configuration=3,
            directory=self.world.revision,
            runners=123456789 + self.world.revision,
            in_flight=dict(self.in_flight),
            pending={r: 2000 for r in list(self.in_flight)[:1]},
            used=dict(self.used),
            levels=dict.fromkeys(self.used, 9000.5) if whole else None,
            work={"llm": (9999, 8e3, 0.4)} if whole else None,
            known=known,
            limits_port=7601,
            aggregator=aggregator,
        )

    def call(self, runner, customer):
        """Begin a call."""
        self.in_flight[runner] = self.in_flight.get(runner, 0) + 1
        self.used[customer] = self.used.get(customer, 0) + 1000
        self.changed()

    def end(self, runner):
        """End a call."""
        self.in_flight[runner] -= 1
        if not self.in_flight[runner]:
            del self.in_flight[runner]
        self.changed()

    def changed(self):
        """Tell what has changed soon."""
        self.changes.append(self.world.clock.now())
        if self.told_soon_at is None:
            self.told_soon_at = self.world.clock.now() + GATHER_S

    def step(self, now, before):
        """Do what is due between two moments."""
        if now < self.slow_until:
            return
        if self.told_soon_at is not None and self.told_soon_at <= now:
            self.told_soon_at = None
            self.send(self.news.publish_change())
        if self._due(peer_datagrams.READ_INTERVAL_S, now, before):
            self.read()
        if self._due(record_aggregation.AGGREGATE_INTERVAL_S, now, before):
            self.read()
            self.send(self.news.publish_aggregates(self.world.runners))
        if self._due(vm_records.RECORD_INTERVAL_S, now, before):
            self.send(self.news.tick())

    def read(self):
        """Take in what has come."""
        waiting, self.inbox = self.inbox, []
        for message in waiting:
            self.take(peer_datagrams.unpack(message))

    def take(self, message):
        """Take a message in, as a VM's link does."""
        if isinstance(message, vm_records.VmRecord):
            self.table.receive_record(message)
            self.note_used(message.process, message.used)
            self.send(self.news.receive_record(message))
            return
        for entry in message.entries:
            if entry.vm != self.name:
                self.table.receive_record(
                    entry, message.ages.get(entry.vm, 0.0)
                )
                self.note_used(entry.process, entry.used)
        for vm, age_s in message.ages.items():
            self.table.note_heard(vm, age_s)
        for process, used in message.used.items():
            self.note_used(process, used)
        self.send(self.news.receive_aggregate(message))

    def note_used(self, process, used):
        """Keep what a process has let in."""
        self.heard_used.setdefault(process, {}).update(used)

    def send(self, outgoing):
        """Give messages to the network."""
        for each in outgoing:
            if each.receivers:
                data = peer_datagrams.pack(each.message)
                for receiver in each.receivers:
                    self.world.carry(self, receiver, data)

    def _due(self, pause_s, now, before):
        since = (now - self.phase_s) // pause_s
        return since != (before - self.phase_s) // pause_s


class World:
    """A fleet in some data centres.

    :param count: of VMs.
    :param places: data centres.
    :param table: what a VM knows of the others, and
    :param news: to whom it tells what.
    """

    def __init__(
        self,
        count,
        places=5,
        seed=1,
        runners=44,
        table=peer_table.PeerTable,
        news=record_exchange.RecordExchange,
    ):
        self.table = table
        self.news = news
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        #: Part of all datagrams that are lost.
        self.loss = 0.0
        self.places = [f"dc-{place}" for place in range(places)]
        self.seeds = [
            f"10.0.0.{number}:7000" for number in range(1, SEEDS + 1)
        ]
        self.runners = {f"i-{n:010x}" for n in range(runners)}
        self.customers = [f"customer-{n}" for n in range(19)]
        #: Of the newest change of a runner.
        self.revision = 400
        self.vms = {}
        self.by_address = {}
        #: Pairs of names whose datagrams are lost, the sender first.
        self.cut = set()
        self.in_network = []
        self.order = itertools.count()
        #: Bytes and datagrams sent and received, by name.
        self.sent = {}
        self.received = {}
        #: Bytes between data centres.
        self.crossed = 0
        self.datagrams = 0
        for number in range(1, count + 1):
            self.add(number)

    def add(self, number, incarnation=1):
        """Start a VM's process."""
        place = self.places[number % len(self.places)]
        vm = Vm(self, number, place, incarnation)
        self.vms[vm.name] = vm
        self.by_address[vm.address] = vm
        return vm

    def kill(self, vm):
        """End a VM's process."""
        del self.vms[vm.name]
        del self.by_address[vm.address]

    def restart(self, vm):
        """End a VM's process and start another."""
        self.kill(vm)
        return self.add(vm.number, vm.incarnation + 1)

    def carry(self, sender, receiver, data):
        """Send a datagram on its way, or lose it."""
        size = len(data) + HEADERS
        self.datagrams += 1
        self.sent[sender.name] = self.sent.get(sender.name, 0) + size
        target = self.by_address.get(receiver)
        if target is None or (sender.name, target.name) in self.cut:
            return
        if self.rng.random() < self.loss:
            return
        self.received[target.name] = self.received.get(target.name, 0) + size
        if target.data_centre != sender.data_centre:
            self.crossed += size
        now = self.clock.now()
        sent_at = max(now, sender.link_free_at) + size / LINK_BYTES
        sender.link_free_at = sent_at
        arrives = sent_at + DELAY_S
        entry = (arrives, next(self.order), receiver, data)
        heapq.heappush(self.in_network, entry)

    def run(self, seconds, load=None):
        """Let time pass.

        :param load: called before each step.
        """
        for _ in range(round(seconds / STEP_S)):
            before = self.clock.now()
            self.clock.advance(STEP_S)
            now = self.clock.now()
            if load is not None:
                load(now)
            while self.in_network and self.in_network[0][0] <= now:
                _, _, receiver, data = heapq.heappop(self.in_network)
                if receiver in self.by_address:
                    self.by_address[receiver].inbox.append(data)
            for vm in list(self.vms.values()):
                if vm.name in self.vms:
                    vm.step(now, before)

    def forget_traffic(self):
        """Count bytes anew."""
        self.sent.clear()
        self.received.clear()
        self.crossed = self.datagrams = 0

    def bytes_a_second(self, seconds):
        """Bytes that a VM sent and received, on the mean."""
        whole = sum(self.sent.values()) + sum(self.received.values())
        return whole / seconds / len(self.vms)

    def loads_of_others(self, vm):
        """What the other VMs have at the runners in truth."""
        truth = {}
        for other in self.vms.values():
            if other is not vm:
                for runner, count in other.in_flight.items():
                    truth[runner] = truth.get(runner, 0) + count
        return truth


class Calls:
    """Calls that begin and end at random.

    :param per_s: of the whole fleet.
    """

    def __init__(self, world, per_s, lasts_s=1.0):
        self.world = world
        self.per_s = per_s
        self.lasts_s = lasts_s
        self.ends = []
        self.order = itertools.count()

    def __call__(self, now):
        rng = self.world.rng
        vms = list(self.world.vms.values())
        runners = sorted(self.world.runners)
        expected = self.per_s * STEP_S
        count = int(expected) + (rng.random() < expected % 1)
        for _ in range(count):
            vm, runner = rng.choice(vms), rng.choice(runners)
            vm.call(runner, rng.choice(self.world.customers))
            end = now + rng.expovariate(1.0 / self.lasts_s)
            heapq.heappush(self.ends, (end, next(self.order), vm, runner))
        while self.ends and self.ends[0][0] <= now:
            _, _, vm, runner = heapq.heappop(self.ends)
            if self.world.vms.get(vm.name) is vm:
                vm.end(runner)


class Probe:
    """Follows how old the loads are that VMs know.

    Some VMs tell how many changes they have seen as calls at a runner that
    nobody else uses, so that what another VM knows shows what it has missed.
    """

    def __init__(self, world, calls):
        self.world = world
        self.calls = calls
        self.probes = world.rng.sample(
            list(world.vms.values()), min(PROBES, len(world.vms))
        )
        self.sampled_at = world.clock.now()
        self.ages_s = []
        for vm in self.probes:
            vm.changes.clear()

    def __call__(self, now):
        before = {vm.name: len(vm.changes) for vm in self.probes}
        self.calls(now)
        for vm in self.probes:
            if len(vm.changes) > before[vm.name]:
                vm.in_flight[PROBE + vm.name] = len(vm.changes)
        if now - self.sampled_at >= SAMPLE_S:
            self.sampled_at = now
            self.ages_s += self._ages(now)

    def _ages(self, now):
        for vm in self.world.vms.values():
            known = vm.news.loads.in_flight
            for probe in self.probes:
                if probe is not vm:
                    count = known.get(PROBE + probe.name, 0)
                    missed = probe.changes[count:]
                    yield now - missed[0] if missed else 0.0
