"""Steps for tests/vms/catalogue_replicator.feature."""

import random

import behave
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import catalogue_deltas
from apricotlever.vms import catalogue_replicator
from apricotlever.vms import fleet_view as fleet_view
from apricotlever.vms import membership
from apricotlever.vms import replication_actions
from bench import fleets
from bench import gossip_simulation
from bench import replication_simulation
from tests.vms import naive_replicator

PROPERTY_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
VERSIONS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 9), strategies.sampled_from(["store", "peer"])
    ),
    min_size=1,
    max_size=12,
)
ITEMS = strategies.dictionaries(
    strategies.sampled_from("abcd"), strategies.integers(0, 3), max_size=4
)
DOCUMENTS = strategies.dictionaries(
    strategies.sampled_from(["entries", "classes", "customers"]), ITEMS
)


def _document(version):
    return {"entries": {"e": {"limit": version}}, "classes": {}}


def _whole(version, document=None, digest=None):
    document = document or _document(version)
    return pb.CatalogueDocument(
        version=version,
        digest=digest or catalogue_deltas.compute_digest(document),
        whole=catalogue_deltas.canonical_json(document),
    )


def _new_replicator(check=lambda document, version: None):
    clock = clocks.ManualClock()
    replicator = catalogue_replicator.CatalogueReplicator(
        clock, random.Random(1), "me", "d0", check
    )
    members = {
        vm: gossip_simulation.make_member(vm, "d0")
        for vm in ("me", "p1", "p2")
    }
    replicator.update_view(fleet_view.FleetView(members["me"], members, {}))
    return clock, replicator


def _receive(replicator, version, source):
    if source == "store":
        return replicator.receive_stored(version, _document(version))
    return replicator.receive_answer("p1", _whole(version))


@behave.then("any order of answers leaves the greatest version in force")
def rises(context):
    """The version is checked after each answer, not just at the end."""

    @PROPERTY_SETTINGS
    @hypothesis.given(VERSIONS)
    def check(answers):
        _, replicator = _new_replicator()
        highest = 0
        for version, source in answers:
            _receive(replicator, version, source)
            highest = max(highest, version)
            assert replicator.in_force.version == highest
            assert replicator.in_force.document == _document(highest)

    check()


@behave.then(
    "some order of answers reverts a replicator that takes any answer"
)
def reverts(context):
    """The check of the real replicator has to fail for the naive one."""

    @PROPERTY_SETTINGS
    @hypothesis.given(VERSIONS)
    def check(answers):
        replicator = naive_replicator.NaiveReplicator()
        for version, _ in answers:
            replicator.receive(version, _document(version))
        assert replicator.version == max(version for version, _ in answers)

    try:
        check()
    except AssertionError:
        return
    raise AssertionError("the naive replicator passed")


@behave.then("for any two documents the delta leads to the new one")
def delta_same(context):
    """The client has version 1; the server has versions 1 to 3."""

    @PROPERTY_SETTINGS
    @hypothesis.given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def check(one, two, three):
        _, server = _new_replicator()
        _, client = _new_replicator()
        client.receive_stored(1, one)
        for version, document in enumerate((one, two, three), start=1):
            server.receive_stored(version, document)
        ours = client.in_force
        answer = server.answer_fetch(
            pb.FetchCatalogue(
                have_version=ours.version, have_digest=ours.digest
            )
        )
        client.receive_answer("p1", answer)
        assert client.in_force.version == 3
        assert client.in_force.digest == server.in_force.digest

    check()


@behave.given(
    "a replicating fleet of {count:d} VMs in {places:d} data centres"
)
def spread_fleet(context, count, places):
    """Start a fleet in which version 1 is in force at every VM."""
    fleet = gossip_simulation.Fleet()
    members = fleets.make_members(fleets.split_evenly(count, places))
    context.seeds = [
        membership.Hint(m.vm, m.peers_address) for m in members[:2]
    ]
    context.world = replication_simulation.ReplicatedFleet(fleet)
    for member in members:
        context.world.join(fleet.add(member, context.seeds))
    context.world.put(_document(1))
    fleet.run(20.0)
    assert not context.world.lagging()


@behave.when("an operator changes the replicated catalogue")
def changed(context):
    context.world.put(_document(context.world.store.version + 1))


@behave.then("within {seconds:d} s it is in force at every replicating VM")
def in_force(context, seconds):
    """Each VM applied versions in ascending order only."""
    world = context.world
    elapsed_s = world.fleet.run_until(lambda: not world.lagging(), seconds)
    assert elapsed_s is not None, world.lagging()
    for applied in world.applied.values():
        versions = [version for version, _ in applied]
        assert versions == sorted(set(versions))


@behave.when("the replicated store goes down and a VM starts")
def starts_without(context):
    """The new VM knows only the seeds."""
    world = context.world
    world.store.is_available = False
    node = world.fleet.add(
        gossip_simulation.make_member("new", "d0"), context.seeds
    )
    world.join(node)


@behave.when('the catalogue watchers of "{data_centre}" lose the store')
def lose_store(context, data_centre):
    """The store sends no more events to these watchers."""
    watchers = context.world.store.watchers
    lost = [
        vm
        for vm, node in watchers.items()
        if node.member.data_centre == data_centre
    ]
    assert lost
    for vm in lost:
        del watchers[vm]


@behave.given("a replicator with version 5 in force")
def at_five(context):
    """Documents with a section named "bad" are invalid."""
    context.clock, context.replicator = _new_replicator(
        lambda document, version: "bad" if "bad" in document else None
    )
    context.result = context.replicator.receive_stored(5, _document(5))
    assert isinstance(context.result[0], replication_actions.ApplyCatalogue)


@behave.when("the replicator's store returns version 3")
def store_older(context):
    """As after the restore of a backup."""
    context.result = context.replicator.receive_stored(3, _document(3))


@behave.when("the replicator's store returns another document as version 5")
def store_clash(context):
    """The store returns it twice, to check that it is reported once."""
    context.result = context.replicator.receive_stored(5, _document(9))
    context.result += context.replicator.receive_stored(5, _document(9))


@behave.when("a peer mentions version 5 with another digest")
def peer_clash(context):
    """The peer mentions it twice; one of the two is reported."""
    context.result = context.replicator.peer_has_version(5, 1, "p1")
    context.result += context.replicator.peer_has_version(5, 1, "p1")


@behave.when("the replicator's store returns an invalid document as version 6")
def store_bad(context):
    """Peers send and mention the same document afterwards."""
    bad = dict(_document(6), bad={})
    context.result = context.replicator.receive_stored(6, bad)
    context.result += context.replicator.receive_answer("p1", _whole(6, bad))
    context.result += context.replicator.peer_has_version(
        6, catalogue_deltas.compute_digest(bad), "p1"
    )
    context.clock.advance(1.0)
    context.result += context.replicator.tick()


@behave.when("a peer sends version 6 with a wrong digest")
def wrong_digest(context):
    """The document was altered in transit."""
    context.result = context.replicator.receive_answer(
        "p1", _whole(6, digest=1)
    )


def _stays_and_reports(context, kind):
    assert context.replicator.in_force.version == 5
    assert context.replicator.in_force.document == _document(5)
    assert [type(action) for action in context.result] == [kind]


@behave.then("version 5 stays in force and the older store is reported")
def behind(context):
    _stays_and_reports(context, replication_actions.StoreBehind)


@behave.then("version 5 stays in force and the clash is reported once")
def clash(context):
    """The clash is not reported again at each mention."""
    _stays_and_reports(context, replication_actions.DigestClash)


@behave.then("version 5 stays in force and the invalid one is reported once")
def bad(context):
    """The result has the report only, so nothing is fetched again."""
    _stays_and_reports(context, replication_actions.Invalid)


@behave.then("a valid version 7 is put in force")
def good(context):
    """The invalid version before it does not block it."""
    context.replicator.receive_stored(7, _document(7))
    assert context.replicator.in_force.version == 7


@behave.when("a rumour brings version 8 as a change of version 7")
def unfit(context):
    """The replicator has not received versions 6 and 7."""
    rumour = pb.Rumour()
    rumour.catalogue.version = 8
    rumour.catalogue.digest = catalogue_deltas.compute_digest(_document(8))
    delta = rumour.catalogue.delta
    delta.version, delta.digest = 8, rumour.catalogue.digest
    delta.base_version, delta.base_digest = 7, 77
    context.result = context.replicator.receive_rumour(rumour, "p2")


@behave.then("the replicator fetches from the VM that passed it on")
def fetches(context):
    """The request names the version in force."""
    (fetch,) = context.result
    assert (
        isinstance(fetch, replication_actions.FetchFromPeer)
        and fetch.vm == "p2"
    )
    assert fetch.message.have_version == 5


@behave.then("a failed fetch is retried at a random VM")
def fetched_again(context):
    """The retry comes after FETCH_RETRY_S."""
    context.replicator.fetch_failed("p2")
    assert not context.replicator.tick()
    context.clock.advance(catalogue_replicator.FETCH_RETRY_S)
    (fetch,) = context.replicator.tick()
    context.replicator.receive_answer(fetch.vm, _whole(8))
    assert context.replicator.in_force.version == 8
    context.clock.advance(5.0)
    assert not context.replicator.tick()
