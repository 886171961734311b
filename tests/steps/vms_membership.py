"""Steps for the membership of entry VMs."""

import behave

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import membership
from bench import gossip_simulation
from tests.vms import gossip_fleet
from tests.vms import naive_membership

SETTLE_S = 15.0


@behave.given("a gossip fleet of {count:d} VMs in {places:d} data centres")
def start_gossip_fleet(context, count, places):
    """The VMs know one seed node."""
    context.world = gossip_fleet.GossipFleet(
        count, places, membership.Membership
    )


@behave.given(
    "a converged gossip fleet of {count:d} VMs in {places:d} data centres"
)
def converged_fleet(context, count, places):
    """All VMs see each other."""
    start_gossip_fleet(context, count, places)
    context.world.fleet.run(SETTLE_S)
    assert context.world.complete()
    context.world.since = context.world.fleet.clock.now()


@behave.given("a heartbeat fleet of {count:d} VMs in {places:d} data centres")
def heartbeat_fleet(context, count, places):
    """The VMs use the naive membership."""
    make = naive_membership.HeartbeatMembership
    context.world = gossip_fleet.GossipFleet(count, places, make)
    context.world.fleet.run(3.0)
    assert context.world.complete()


@behave.given(
    "a large gossip fleet of {count:d} VMs in {places:d} data centres"
)
def large_fleet(context, count, places):
    """The fleet is above the size limit of a full view."""
    context.world = gossip_fleet.GossipFleet(
        count,
        places,
        membership.Membership,
        full_view_max=count // 2,
        summary_interval_s=1.0,
    )
    context.world.fleet.run(SETTLE_S)


@behave.then(
    "within {seconds:d} s every gossip VM sees exactly the running VMs"
)
def sees_all(context, seconds):
    """No view has other members."""
    context.world.wait_until(seconds, context.world.complete)


@behave.when('gossip VM "{vm}" crashes')
def crashes(context, vm):
    """The process ends without an announcement."""
    context.world.fleet.crash(vm)


@behave.when(
    "for {seconds:d} s the gossip network loses {part:d} in 100 messages"
)
def loses(context, seconds, part):
    """Each direction loses messages independently."""
    context.world.fleet.loss = part / 100
    context.world.fleet.run(seconds)


@behave.then("no running gossip VM was declared dead")
def none_declared_dead(context):
    """No VM declared it dead."""
    assert not context.world.wrong_deaths(), context.world.wrong_deaths()


@behave.then("some running gossip VM was declared dead")
def some_declared_dead(context):
    """The previous check fails for the naive version."""
    assert context.world.wrong_deaths()


@behave.when('gossip VM "{vm}" pauses for {seconds:d} s')
def pauses(context, vm, seconds):
    """The VM runs for 2 s after the pause."""
    context.world.fleet.pause(vm, seconds)
    context.world.fleet.run(seconds + 2.0)


@behave.then('gossip VM "{vm}" declared no running VM dead')
def declared_none_dead(context, vm):
    """It did so neither by its own timers nor by records of others."""
    judges = [j for j, _ in context.world.wrong_deaths()]
    assert vm not in judges


@behave.then('gossip VM "{vm}" declared {count:d} running VMs dead')
def declared_others_dead(context, vm, count):
    """The naive version does so."""
    judges = [j for j, _ in context.world.wrong_deaths()]
    assert judges.count(vm) == count, judges


@behave.then('gossip VM "{vm}" reported a pause of about {seconds:d} s')
def reported_pause(context, vm, seconds):
    """It reported the pause once."""
    found = [
        action.seconds
        for _, node, action in context.world.actions_by_type[
            actions.PauseDetected
        ]
        if node.vm == vm
    ]
    assert len(found) == 1 and abs(found[0] - seconds) < 0.5, found


@behave.when(
    'gossip VMs "{one}" and "{other}" cannot reach each other for '
    "{seconds:d} s"
)
def cannot_reach(context, one, other, seconds):
    """All other links work."""
    fleet = context.world.fleet
    fleet.is_cut_off = lambda a, b: {a.vm, b.vm} == {one, other}
    fleet.run(seconds)


@behave.then("no gossip VM was suspected")
def none_suspected(context):
    """No VM raised a suspicion after the fleet converged."""
    world = context.world
    assert not [
        action
        for at, _, action in world.actions_by_type[actions.MemberChanged]
        if action.after.state == pb.VM_SUSPECT and at >= world.since
    ]


@behave.when('gossip VM "{vm}" is replaced while its old process still runs')
def replaced(context, vm):
    """The new process gets the address; the old one can still call."""
    fleet = context.world.fleet
    context.old = fleet.nodes[vm]
    member = gossip_simulation.make_member(
        vm, context.old.member.data_centre, "", 2
    )
    hints = [membership.Hint("d1-v0", "d1-v0:81")]
    fleet.add(member, hints)


@behave.then(
    "within {seconds:d} s every gossip VM knows that incarnation "
    '{number:d} of "{vm}" ended'
)
def incarnation_ended(context, seconds, number, vm):
    """They know it for certain, not by a suspicion."""
    world = context.world
    others = {node.vm for node in world.running()} - {vm}

    def known():
        return others == {
            node.vm
            for _, node, action in world.actions_by_type[
                actions.IncarnationEnded
            ]
            if (action.vm, action.incarnation) == (vm, number)
            and node.vm != vm
        }

    world.wait_until(seconds, known)


@behave.then('the old process of "{vm}" was told that it is superseded')
def superseded(context, vm):
    """The old process must stop then."""
    world = context.world
    world.wait_until(
        5,
        lambda: any(
            node is context.old
            for _, node, _ in world.actions_by_type[actions.Superseded]
        ),
    )


@behave.when('gossip VM "{vm}" announces that it leaves')
def leaves(context, vm):
    """The VM still probes and answers."""
    node = context.world.fleet.nodes[vm]
    context.world.fleet.perform(node, node.membership.announce_leave())


@behave.when('gossip VM "{vm}" announces its exit')
def announces_exit(context, vm):
    """The process ends after the announcement."""
    node = context.world.fleet.nodes[vm]
    context.world.fleet.perform(node, node.membership.announce_exit())
    node.running = False


@behave.when(
    'gossip VM "{vm}" is suspected by a VM that does not know of the leave'
)
def suspected(context, vm):
    """The suspicion has precedence over the leave."""
    world = context.world
    member = pb.Member()
    member.CopyFrom(world.fleet.nodes[vm].membership.me)
    member.leaving = False
    member.state = pb.VM_SUSPECT
    member.suspected_by = "d1-v0"
    sender = world.fleet.nodes["d1-v0"]
    message = pb.GossipMessage(sender=sender.membership.me, members=[member])
    target = world.fleet.nodes["d2-v0"]
    world.fleet.run(1.0)
    world.fleet.perform(target, target.membership.receive(message))


@behave.then('within {seconds:d} s no gossip VM sends new work to "{vm}"')
def no_new_work(context, seconds, vm):
    """No view names the VM for new work."""
    world = context.world
    world.wait_until(
        seconds,
        lambda: not any(
            vm in node.membership.view.serving_names()
            for node in world.running()
        ),
    )


@behave.then('every gossip VM still sees "{vm}"')
def still_seen(context, vm):
    """The VM finishes its work in progress."""
    world = context.world
    assert all(vm in world.seen_by(node) for node in world.running())


@behave.then('every gossip VM records "{vm}" as leaving')
def recorded_as_leaving(context, vm):
    """The VM has refuted the suspicion by then."""
    world = context.world
    world.wait_until(
        10,
        lambda: all(
            node.membership.view.members[vm].state == pb.VM_LEAVING
            for node in world.running()
        ),
    )


@behave.when(
    'data centre "{place}" is partitioned from the gossip network for '
    "{seconds:d} s"
)
def partitioned(context, place, seconds):
    """The partition heals afterwards."""
    world = context.world

    def cut(one, other):
        places = (one.member.data_centre, other.member.data_centre)
        return (place in places) and places[0] != places[1]

    world.fleet.is_cut_off = cut
    world.fleet.run(seconds)
    assert world.wrong_deaths()
    world.fleet.is_cut_off = lambda one, other: False
    world.since = world.fleet.clock.now()


@behave.then(
    "since the partition healed no running gossip VM was declared dead"
)
def none_declared_dead_since(context):
    """A view from the other side could make VMs drop their own side."""
    assert not context.world.wrong_deaths(), context.world.wrong_deaths()


@behave.when(
    '{seconds:d} s later the platform lists "{vm}" with its old address'
)
def platform_lists(context, seconds, vm):
    """Every VM gets the hint."""
    context.world.fleet.run(seconds)
    member = context.world.fleet.nodes[vm].member
    hint = membership.Hint(vm, member.peers_address, member.data_centre)
    for node in context.world.running():
        node.membership.set_hints([hint])


@behave.then('for {seconds:d} s no gossip VM sees "{vm}"')
def unseen(context, seconds, vm):
    """This holds at every moment."""
    world = context.world
    took = world.fleet.run_until(
        lambda: any(vm in world.seen_by(node) for node in world.running()),
        seconds,
    )
    assert took is None, took


@behave.when('gossip VM "{vm}" crashes and "{new}" takes its address')
def address_reused(context, vm, new):
    """The platform gave the IP address to another VM."""
    fleet = context.world.fleet
    old = fleet.nodes[vm].member
    fleet.crash(vm)
    member = gossip_simulation.make_member(new, old.data_centre)
    member.peers_address = old.peers_address
    fleet.add(member, [membership.Hint("d1-v0", "d1-v0:81")])


@behave.when(
    'gossip VM "{vm}" pauses for {seconds:d} s and "{other}" crashes meanwhile'
)
def long_pause(context, vm, seconds, other):
    """The pause outlasts the tombstone of the other VM."""
    fleet = context.world.fleet
    fleet.pause(vm, seconds)
    fleet.run(1.0)
    fleet.crash(other)
    fleet.run(seconds)


@behave.then(
    "within {seconds:d} s each gossip VM sees {members:d} members and "
    "{count:d} summaries"
)
def sees_summaries(context, seconds, members, count):
    """The members are those of its own data centre."""
    world = context.world

    def done():
        views = [node.membership.view for node in world.running()]
        return all(
            (len(view.members), len(view.summaries)) == (members, count)
            for view in views
        )

    world.wait_until(seconds, done)


@behave.then("the gossip view counts {count:d} members")
def view_counts(context, count):
    """The count includes all data centres."""
    for node in context.world.running():
        assert node.membership.view.size == count
