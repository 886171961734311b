"""Simulates entry VMs that exchange records over a network.

The simulation advances a manual clock in fixed steps.
"""

import heapq
import itertools
import random

from apricotlever import clock as clocks
from apricotlever.serving import peer_datagrams
from apricotlever.serving import runner_directory
from apricotlever.serving import runners
from apricotlever.vms import aggregates
from apricotlever.vms import peer_table
from apricotlever.vms import record_aggregation
from apricotlever.vms import record_exchange
from apricotlever.vms import shared_samples
from apricotlever.vms import vm_records

STEP_S = 0.01
#: Network latency in one direction, in seconds.
LATENCY_S = 0.0014
#: Bytes a second that a VM can send. The value is that of the slowest links.
LINK_BYTES_PER_S = 625000
#: Time in which the changes of a VM are collected into one record, in
#: seconds.
PUBLISH_DELAY_S = 0.02
#: Size of the IP and UDP headers of a datagram, in bytes.
HEADER_BYTES = 28
#: Number of VMs whose addresses are configured as seeds.
SEED_COUNT = 3
#: Interval between two samples of the loads that VMs know, in seconds.
SAMPLE_INTERVAL_S = 0.05
#: Prefix of the names of the runners that count the changes of probed VMs.
PROBE_PREFIX = "probe-"
#: When each runner started, in milliseconds since 1970.
BORN = 1_700_000_000_000
#: Number of probed VMs.
PROBED_VMS = 12


class Vm:
    """A simulated entry VM, which is also the source of its records.

    :param number: number of the VM, from 1.
    """

    def __init__(self, world, number, data_centre, incarnation=1):
        self.world = world
        self.number = number
        self.name = f"edge-{data_centre}-{number}"
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.address = f"10.{number // 250}.0.{number % 250}:7000"
        self.in_flight = {}
        self.refused = []
        self.used = {}
        #: Times of this VM's changes, in ascending order.
        self.change_times = []
        #: Phase of the VM's periodic tasks, so that VMs do not act at once.
        self.phase_s = world.rng.random() * vm_records.RECORD_INTERVAL_S
        #: Time until which the VM stalls.
        self.stalled_until = 0.0
        self.link_free_at = 0.0
        self.inbox = []
        self.publish_at = None
        #: Used units by customer, as received from each process.
        self.received_used = {}
        #: Samples of other VMs, as received.
        self.received_samples = shared_samples.SampleBuffer()
        self.table = world.table_class(
            world.clock,
            random.Random(number),
            self.name,
            self.address,
            world.seed_addresses,
        )
        self.exchange = world.exchange_class(
            world.clock,
            random.Random(number),
            self.name,
            data_centre,
            self.table,
            self,
        )
        self.directory = runner_directory.RunnerDirectory(world.clock)
        self.directory.apply_list(world.entries, world.revision)
        if world.has_notices:
            self.exchange.notices.connect(self.directory)

    @property
    def process(self):
        """Name that distinguishes the VM's process from earlier ones."""
        return f"{self.name}#{self.incarnation}"

    @property
    def live_peers(self):
        """Names of the other VMs that this VM considers alive."""
        return {digest.vm for digest in self.table.alive()}

    def record(self, number, known, whole, aggregator):
        """Build this VM's next record."""
        return vm_records.VmRecord(
            self.name,
            self.incarnation,
            number,
            self.address,
            f"{self.address[:-5]}:80",
            self.data_centre,
            ready=True,
            configuration=3,
            directory=max(self.world.revision, self.directory.revision),
            runners=123456789 + self.world.revision,
            in_flight=dict(self.in_flight),
            pending={r: 2000 for r in list(self.in_flight)[:1]},
            used=dict(self.used),
            levels=dict.fromkeys(self.used, 9000.5) if whole else None,
            work={"llm": (9999, 8e3, 0.4)} if whole else None,
            known=known,
            limits_port=7601,
            aggregator=aggregator,
            refused=list(self.refused),
        )

    def start_call(self, runner, customer):
        """Start a call."""
        self.in_flight[runner] = self.in_flight.get(runner, 0) + 1
        self.used[customer] = self.used.get(customer, 0) + 1000
        self.record_change()

    def end_call(self, runner):
        """End a call."""
        self.in_flight[runner] -= 1
        if not self.in_flight[runner]:
            del self.in_flight[runner]
        self.record_change()

    def record_change(self):
        """Record a change and schedule its publication."""
        self.change_times.append(self.world.clock.now())
        if self.publish_at is None:
            self.publish_at = self.world.clock.now() + PUBLISH_DELAY_S

    def step(self, now, previous):
        """Run the tasks that became due since the previous step."""
        if now < self.stalled_until:
            return
        if self.publish_at is not None and self.publish_at <= now:
            self.publish_at = None
            self.send(self.exchange.publish_change())
        if self._due(peer_datagrams.READ_INTERVAL_S, now, previous):
            self.handle_inbox()
        if self._due(record_aggregation.AGGREGATE_INTERVAL_S, now, previous):
            self.handle_inbox()
            self.send(self.exchange.publish_aggregates(self.world.runners))
        if self._due(vm_records.RECORD_INTERVAL_S, now, previous):
            self.send(self.exchange.tick())

    def handle_inbox(self):
        """Process the received datagrams."""
        datagrams, self.inbox = self.inbox, []
        for message in datagrams:
            self.handle_message(peer_datagrams.unpack(message))

    def handle_message(self, message):
        """Process a message in the way of a VM's peer link."""
        for notice in self.exchange.notices.receive(message.notices):
            self.directory_changed(self.directory.mark_leaving(notice))
        if isinstance(message, vm_records.VmRecord):
            self.table.receive_record(message)
            self.fetch_runners(message)
            self.record_used(message.process, message.used)
            if not message.aggregator:
                self.received_samples.merge(message.samples)
            self.send(self.exchange.receive_record(message))
            return
        for entry in message.entries:
            if entry.vm != self.name:
                self.table.receive_record(
                    entry, message.ages.get(entry.vm, 0.0)
                )
                self.fetch_runners(entry)
                self.record_used(entry.process, entry.used)
        for vm, age_s in message.ages.items():
            self.table.note_heard(vm, age_s)
        for process, used in message.used.items():
            self.record_used(process, used)
        self.send(self.exchange.receive_aggregate(message))
        self._receive_samples(message)

    def fetch_runners(self, record):
        """Merge the directory of a peer that has later changes, at once."""
        peer = self.world.vms.get(record.vm)
        if (
            peer is not None
            and record.directory > self.directory.revision
            and self.world.clock.now() >= self.world.fetches_fail_until
        ):
            changes = peer.directory.changes_after(self.directory.revision)
            self.directory_changed(self.directory.merge_changes(*changes))

    def directory_changed(self, ended):
        """Publish a change if it marked runners as leaving."""
        if ended and self.publish_at is None:
            self.publish_at = self.world.clock.now() + PUBLISH_DELAY_S

    def knows_leaving(self, runner_id):
        """Whether the VM sends no new calls to a runner."""
        runner = self.directory.get(runner_id)
        return runner is None or runner.leaving

    def _receive_samples(self, message):
        """Add up the samples in an aggregate of the VM's own aggregator."""
        if self.exchange.takes_loads_from(message):
            self.received_samples.merge(message.samples)

    def record_used(self, process, used):
        """Store the used units that a process reported."""
        self.received_used.setdefault(process, {}).update(used)

    def send(self, outgoing):
        """Send messages to their receivers over the network."""
        for outgoing_message in outgoing:
            if isinstance(outgoing_message.message, aggregates.Aggregate):
                self._receive_samples(outgoing_message.message)
            if outgoing_message.receivers:
                data = peer_datagrams.pack(outgoing_message.message)
                for receiver in outgoing_message.receivers:
                    self.world.transmit(self, receiver, data)

    def _due(self, interval_s, now, previous):
        """Whether a periodic task became due since the previous step."""
        periods = (now - self.phase_s) // interval_s
        return periods != (previous - self.phase_s) // interval_s


class FleetSimulation:
    """Simulates a fleet of VMs and its network.

    :param vm_count: number of VMs.
    :param data_centre_count: number of data centres.
    :param runner_count: number of runners.
    :param table_class: class of a VM's table of its peers.
    :param exchange_class: class that decides which messages a VM sends.
    :param has_notices: whether VMs exchange notices of leaving runners.
    """

    def __init__(
        self,
        vm_count,
        data_centre_count=5,
        seed=1,
        runner_count=44,
        table_class=peer_table.PeerTable,
        exchange_class=record_exchange.RecordExchange,
        has_notices=True,
    ):
        self.has_notices = has_notices
        self.table_class = table_class
        self.exchange_class = exchange_class
        self.rng = random.Random(seed)
        self.clock = clocks.ManualClock()
        #: Share of datagrams that are lost.
        self.loss_rate = 0.0
        self.data_centres = [f"dc-{n}" for n in range(data_centre_count)]
        self.seed_addresses = [
            f"10.0.0.{number}:7000" for number in range(1, SEED_COUNT + 1)
        ]
        self.runners = {f"i-{n:010x}" for n in range(runner_count)}
        self.customers = [f"customer-{n}" for n in range(19)]
        #: Revision of the latest change of a runner.
        self.revision = 400
        #: Entries of the runners in the store.
        self.entries = [
            runners.Runner(
                name, "llm", "10.9.0.1", 80, "dc-0", 24, revision=1, born=BORN
            )
            for name in sorted(self.runners)
        ]
        #: Time until which VMs can't fetch directories from each other.
        self.fetches_fail_until = 0.0
        self.vms = {}
        self.vms_by_address = {}
        #: Pairs of sender and receiver between which all datagrams are lost.
        self.dropped_links = set()
        self.in_transit = []
        self.sequence = itertools.count()
        #: Bytes sent and received, by VM.
        self.sent = {}
        self.received = {}
        #: Bytes sent between data centres.
        self.crossed = 0
        self.datagrams = 0
        for number in range(1, vm_count + 1):
            self.add(number)

    def add(self, number, incarnation=1):
        """Start the process of a VM."""
        data_centre = self.data_centres[number % len(self.data_centres)]
        vm = Vm(self, number, data_centre, incarnation)
        self.vms[vm.name] = vm
        self.vms_by_address[vm.address] = vm
        return vm

    def kill(self, vm):
        """Stop the process of a VM."""
        del self.vms[vm.name]
        del self.vms_by_address[vm.address]

    def restart(self, vm):
        """Stop the process of a VM and start another one."""
        self.kill(vm)
        return self.add(vm.number, vm.incarnation + 1)

    def announce_leaving(self, count, followers):
        """Write that runners are leaving, and let VMs read it in the store.

        :param count: number of leaving runners.
        :param followers: the VMs that read it.
        :returns: the incarnations.
        """
        leaving = []
        for entry in self.entries[:count]:
            copy = entry.as_leaving()
            copy.revision = self.revision + 1 + len(leaving)
            copy.sequence = 1
            leaving.append(copy)
        for vm in followers:
            for entry in leaving:
                vm.directory_changed(vm.directory.apply_entry(entry))
        return [entry.runner_id for entry in leaving]

    def transmit(self, sender, receiver, data):
        """Send a datagram, which may be lost."""
        size = len(data) + HEADER_BYTES
        self.datagrams += 1
        self.sent[sender.name] = self.sent.get(sender.name, 0) + size
        recipient = self.vms_by_address.get(receiver)
        if (
            recipient is None
            or (sender.name, recipient.name) in self.dropped_links
        ):
            return
        if self.rng.random() < self.loss_rate:
            return
        self.received[recipient.name] = (
            self.received.get(recipient.name, 0) + size
        )
        if recipient.data_centre != sender.data_centre:
            self.crossed += size
        now = self.clock.now()
        sent_at = max(now, sender.link_free_at) + size / LINK_BYTES_PER_S
        sender.link_free_at = sent_at
        arrives = sent_at + LATENCY_S
        entry = (arrives, next(self.sequence), receiver, data)
        heapq.heappush(self.in_transit, entry)

    def run(self, seconds, load=None):
        """Run the simulation.

        :param load: called with the current time in each step.
        """
        for _ in range(round(seconds / STEP_S)):
            previous = self.clock.now()
            self.clock.advance(STEP_S)
            now = self.clock.now()
            if load is not None:
                load(now)
            while self.in_transit and self.in_transit[0][0] <= now:
                _, _, receiver, data = heapq.heappop(self.in_transit)
                if receiver in self.vms_by_address:
                    self.vms_by_address[receiver].inbox.append(data)
            for vm in list(self.vms.values()):
                if vm.name in self.vms:
                    vm.step(now, previous)

    def reset_traffic(self):
        """Reset the traffic counters."""
        self.sent.clear()
        self.received.clear()
        self.crossed = self.datagrams = 0

    def mean_bytes_per_s(self, seconds):
        """Mean bytes a second sent and received by a VM."""
        whole = sum(self.sent.values()) + sum(self.received.values())
        return whole / seconds / len(self.vms)

    def actual_peer_loads(self, vm):
        """Actual number of calls of the other VMs, by runner."""
        actual = {}
        for other in self.vms.values():
            if other is not vm:
                for runner, count in other.in_flight.items():
                    actual[runner] = actual.get(runner, 0) + count
        return actual


class CallGenerator:
    """Generates calls that start and end at random.

    :param per_s: calls a second of the whole fleet.
    :param mean_duration_s: mean duration of a call, in seconds.
    """

    def __init__(self, world, per_s, mean_duration_s=1.0):
        self.world = world
        self.per_s = per_s
        self.mean_duration_s = mean_duration_s
        self.ends = []
        self.sequence = itertools.count()

    def __call__(self, now):
        rng = self.world.rng
        vms = list(self.world.vms.values())
        runners = sorted(self.world.runners)
        expected = self.per_s * STEP_S
        count = int(expected) + (rng.random() < expected % 1)
        for _ in range(count):
            vm, runner = rng.choice(vms), rng.choice(runners)
            vm.start_call(runner, rng.choice(self.world.customers))
            end_at = now + rng.expovariate(1.0 / self.mean_duration_s)
            heapq.heappush(
                self.ends, (end_at, next(self.sequence), vm, runner)
            )
        while self.ends and self.ends[0][0] <= now:
            _, _, vm, runner = heapq.heappop(self.ends)
            if self.world.vms.get(vm.name) is vm:
                vm.end_call(runner)


class LoadAgeProbe:
    """Measures the age of the loads that VMs know.

    A probed VM reports the number of its changes as calls at a runner that no
    other VM uses. The number that another VM knows shows which changes that VM
    has not received.
    """

    def __init__(self, world, calls):
        self.world = world
        self.calls = calls
        self.probed_vms = world.rng.sample(
            list(world.vms.values()), min(PROBED_VMS, len(world.vms))
        )
        self.sampled_at = world.clock.now()
        self.ages_s = []
        for vm in self.probed_vms:
            vm.change_times.clear()

    def __call__(self, now):
        change_counts = {
            vm.name: len(vm.change_times) for vm in self.probed_vms
        }
        self.calls(now)
        for vm in self.probed_vms:
            if len(vm.change_times) > change_counts[vm.name]:
                vm.in_flight[PROBE_PREFIX + vm.name] = len(vm.change_times)
        if now - self.sampled_at >= SAMPLE_INTERVAL_S:
            self.sampled_at = now
            self.ages_s += self._ages(now)

    def _ages(self, now):
        """Yield the age of each probed VM's load at each other VM."""
        for vm in self.world.vms.values():
            known = vm.exchange.loads.in_flight
            for probed_vm in self.probed_vms:
                if probed_vm is not vm:
                    count = known.get(PROBE_PREFIX + probed_vm.name, 0)
                    missed = probed_vm.change_times[count:]
                    yield now - missed[0] if missed else 0.0
