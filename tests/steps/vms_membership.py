"""Steps for the membership of entry VMs."""

import behave

from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import actions
from apricotlever.vms import membership
from bench import virtual
from tests.vms import gossip_world
from tests.vms import naive_membership

SETTLE_S = 15.0


@behave.given("a gossip fleet of {count:d} VMs in {places:d} data centres")
def gossip_fleet(context, count, places):
    """They know one first contact."""
    context.world = gossip_world.World(count, places, membership.Membership)


@behave.given(
    "a settled gossip fleet of {count:d} VMs in {places:d} data centres"
)
def settled(context, count, places):
    """They all see each other."""
    gossip_fleet(context, count, places)
    context.world.fleet.run(SETTLE_S)
    assert context.world.complete()
    context.world.since = context.world.fleet.clock.now()


@behave.given("a heartbeat fleet of {count:d} VMs in {places:d} data centres")
def heartbeat_fleet(context, count, places):
    """The naive version."""
    make = naive_membership.HeartbeatMembership
    context.world = gossip_world.World(count, places, make)
    context.world.fleet.run(3.0)
    assert context.world.complete()


@behave.given(
    "a large gossip fleet of {count:d} VMs in {places:d} data centres"
)
def large_fleet(context, count, places):
    """One above the bound of the full view."""
    context.world = gossip_world.World(
        count,
        places,
        membership.Membership,
        full_view_max=count // 2,
        summary_interval_s=1.0,
    )
    context.world.fleet.run(SETTLE_S)


@behave.then("within {seconds:d} s every gossip VM sees all that run")
def sees_all(context, seconds):
    """And nobody else."""
    context.world.within(seconds, context.world.complete)


@behave.when('gossip VM "{vm}" crashes')
def crashes(context, vm):
    """Without a word."""
    context.world.fleet.crash(vm)


@behave.when(
    "for {seconds:d} s the gossip network loses {part:d} in 100 messages"
)
def loses(context, seconds, part):
    """Each way, independently."""
    context.world.fleet.loss = part / 100
    context.world.fleet.run(seconds)


@behave.then("no gossip VM was wrongly held for dead")
def none_wrong(context):
    """By anybody."""
    assert not context.world.wrong_deaths(), context.world.wrong_deaths()


@behave.then("some gossip VM was wrongly held for dead")
def some_wrong(context):
    """The check above fails for the naive version."""
    assert context.world.wrong_deaths()


@behave.when('gossip VM "{vm}" pauses for {seconds:d} s')
def pauses(context, vm, seconds):
    """And wakes up."""
    context.world.fleet.pause(vm, seconds)
    context.world.fleet.run(seconds + 2.0)


@behave.then('gossip VM "{vm}" held nobody for dead')
def held_nobody(context, vm):
    """As a judge of its own or by hearsay."""
    judged = [j for j, _ in context.world.wrong_deaths()]
    assert vm not in judged


@behave.then('gossip VM "{vm}" held {count:d} others for dead')
def held_others(context, vm, count):
    """The naive version does."""
    judged = [j for j, _ in context.world.wrong_deaths()]
    assert judged.count(vm) == count, judged


@behave.then('gossip VM "{vm}" reported a pause of about {seconds:d} s')
def reported(context, vm, seconds):
    """Once."""
    found = [
        action.seconds
        for _, node, action in context.world.told[actions.Paused]
        if node.vm == vm
    ]
    assert len(found) == 1 and abs(found[0] - seconds) < 0.5, found


@behave.when(
    'gossip VMs "{one}" and "{other}" cannot reach each other for '
    "{seconds:d} s"
)
def cannot_reach(context, one, other, seconds):
    """All else works."""
    fleet = context.world.fleet
    fleet.cut = lambda a, b: {a.vm, b.vm} == {one, other}
    fleet.run(seconds)


@behave.then("no gossip VM was suspected")
def unsuspected(context):
    """By anybody, since all see each other."""
    world = context.world
    assert not [
        action
        for at, _, action in world.told[actions.Changed]
        if action.after.state == pb.VM_SUSPECT and at >= world.since
    ]


@behave.when('gossip VM "{vm}" is replaced while its old process still runs')
def replaced(context, vm):
    """Its address goes to the new one; the old one can still call."""
    fleet = context.world.fleet
    context.old = fleet.nodes[vm]
    member = virtual.member_of(vm, context.old.member.data_centre, "", 2)
    hints = [membership.Hint("d1-v0", "d1-v0:81")]
    fleet.add(member, hints)


@behave.then(
    "within {seconds:d} s every gossip VM knows that incarnation "
    '{number:d} of "{vm}" ended'
)
def ended(context, seconds, number, vm):
    """By proof, not by a judgement."""
    world = context.world
    others = {node.vm for node in world.running()} - {vm}

    def known():
        return others == {
            node.vm
            for _, node, action in world.told[actions.IncarnationEnded]
            if (action.vm, action.incarnation) == (vm, number)
            and node.vm != vm
        }

    world.within(seconds, known)


@behave.then('the old process of "{vm}" was told that it is superseded')
def superseded(context, vm):
    """It has to stop."""
    world = context.world
    world.within(
        5,
        lambda: any(
            node is context.old
            for _, node, _ in world.told[actions.Superseded]
        ),
    )


@behave.when('gossip VM "{vm}" announces that it leaves')
def leaves(context, vm):
    """It goes on probing and answering."""
    node = context.world.fleet.nodes[vm]
    context.world.fleet.perform(node, node.membership.leave())


@behave.when('gossip VM "{vm}" departs')
def departs(context, vm):
    """The process ends."""
    node = context.world.fleet.nodes[vm]
    context.world.fleet.perform(node, node.membership.depart())
    node.running = False


@behave.when('gossip VM "{vm}" is suspected by one that had not heard of it')
def suspected(context, vm):
    """The suspicion outranks the leave."""
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
    """By their views."""
    world = context.world
    world.within(
        seconds,
        lambda: not any(
            vm in node.membership.view.names() for node in world.running()
        ),
    )


@behave.then('every gossip VM still sees "{vm}"')
def still_seen(context, vm):
    """Its work in progress goes on."""
    world = context.world
    assert all(vm in world.seen_by(node) for node in world.running())


@behave.then('"{vm}" is a leaving VM everywhere')
def leaving_everywhere(context, vm):
    """After it denied the suspicion."""
    world = context.world
    world.within(
        10,
        lambda: all(
            node.membership.view.members[vm].state == pb.VM_LEAVING
            for node in world.running()
        ),
    )


@behave.when(
    'data centre "{place}" is cut off the gossip network for {seconds:d} s'
)
def cut_off(context, place, seconds):
    """Then the cut heals."""
    world = context.world

    def cut(one, other):
        places = (one.member.data_centre, other.member.data_centre)
        return (place in places) and places[0] != places[1]

    world.fleet.cut = cut
    world.fleet.run(seconds)
    assert world.wrong_deaths()
    world.fleet.cut = lambda one, other: False
    world.since = world.fleet.clock.now()


@behave.then("since the cut healed no gossip VM held another for dead")
def none_since(context):
    """Those of the own side above all."""
    assert not context.world.wrong_deaths(), context.world.wrong_deaths()


@behave.when('{seconds:d} s later the list hints at "{vm}" and at its address')
def listed(context, seconds, vm):
    """At every VM."""
    context.world.fleet.run(seconds)
    member = context.world.fleet.nodes[vm].member
    hint = membership.Hint(vm, member.peers_address, member.data_centre)
    for node in context.world.running():
        node.membership.hint([hint])


@behave.then('for {seconds:d} s no gossip VM sees "{vm}"')
def unseen(context, seconds, vm):
    """At no moment."""
    world = context.world
    took = world.fleet.run_until(
        lambda: any(vm in world.seen_by(node) for node in world.running()),
        seconds,
    )
    assert took is None, took


@behave.when('gossip VM "{vm}" crashes and "{new}" takes its address')
def address_reused(context, vm, new):
    """The platform gave the IP number to another VM."""
    fleet = context.world.fleet
    old = fleet.nodes[vm].member
    fleet.crash(vm)
    member = virtual.member_of(new, old.data_centre)
    member.peers_address = old.peers_address
    fleet.add(member, [membership.Hint("d1-v0", "d1-v0:81")])


@behave.when(
    'gossip VM "{vm}" pauses for {seconds:d} s and "{other}" crashes meanwhile'
)
def long_pause(context, vm, seconds, other):
    """Long enough for the death to be forgotten."""
    fleet = context.world.fleet
    fleet.pause(vm, seconds)
    fleet.run(1.0)
    fleet.crash(other)
    fleet.run(seconds)


@behave.then(
    "within {seconds:d} s each gossip VM sees {members:d} members and "
    "{count:d} summaries"
)
def summarised(context, seconds, members, count):
    """Its own data centre in full."""
    world = context.world

    def done():
        views = [node.membership.view for node in world.running()]
        return all(
            (len(view.members), len(view.summaries)) == (members, count)
            for view in views
        )

    world.within(seconds, done)


@behave.then("the gossip view counts {count:d} members")
def counted(context, count):
    """Over all data centres."""
    for node in context.world.running():
        assert node.membership.view.size == count
