"""Steps for the configuration spread."""

import random

import behave
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import deltas
from apricotlever.vms import membership
from apricotlever.vms import spread
from apricotlever.vms import spread_actions as wanted
from apricotlever.vms import view as views
from bench import fleets
from bench import spreading
from bench import virtual
from tests.vms import naive_spread

SOME = hypothesis.settings(
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
        digest=digest or deltas.digest_of(document),
        whole=deltas.canonical(document),
    )


def _spread(check=lambda document, version: None):
    clock = clocks.ManualClock()
    made = spread.ConfigurationSpread(
        clock, random.Random(1), "me", "d0", check
    )
    members = {vm: virtual.member_of(vm, "d0") for vm in ("me", "p1", "p2")}
    made.look(views.View(members["me"], members, {}))
    return clock, made


def _feed(made, version, source):
    if source == "store":
        return made.stored(version, _document(version))
    return made.answered("p1", _whole(version))


@behave.then("any order of answers leaves the greatest version in force")
def rises(context):
    """After each answer, not just at the end."""

    @SOME
    @hypothesis.given(VERSIONS)
    def check(answers):
        _, made = _spread()
        highest = 0
        for version, source in answers:
            _feed(made, version, source)
            highest = max(highest, version)
            assert made.in_force.version == highest
            assert made.in_force.document == _document(highest)

    check()


@behave.then("some order of answers reverts a spread that takes any answer")
def reverts(context):
    """The check above fails for the naive version."""

    @SOME
    @hypothesis.given(VERSIONS)
    def check(answers):
        made = naive_spread.NaiveSpread()
        for version, _ in answers:
            made.take(version, _document(version))
        assert made.version == max(version for version, _ in answers)

    try:
        check()
    except AssertionError:
        return
    raise AssertionError("the naive spread passed")


@behave.then("for any two documents the delta gives the new one")
def delta_same(context):
    """And the server prefers what is shorter."""

    @SOME
    @hypothesis.given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
    def check(one, two, three):
        _, server = _spread()
        _, client = _spread()
        client.stored(1, one)
        for version, document in enumerate((one, two, three), start=1):
            server.stored(version, document)
        ours = client.in_force
        answer = server.serve(
            pb.FetchCatalogue(
                have_version=ours.version, have_digest=ours.digest
            )
        )
        client.answered("p1", answer)
        assert client.in_force.version == 3
        assert client.in_force.digest == server.in_force.digest

    check()


@behave.given("a spread fleet of {count:d} VMs in {places:d} data centres")
def spread_fleet(context, count, places):
    """A first catalogue is in force everywhere."""
    fleet = virtual.Fleet()
    members = fleets.members_of(fleets.even_sizes(count, places))
    context.seeds = [
        membership.Hint(m.vm, m.peers_address) for m in members[:2]
    ]
    context.world = spreading.SpreadFleet(fleet)
    for member in members:
        context.world.join(fleet.add(member, context.seeds))
    context.world.put(_document(1))
    fleet.run(20.0)
    assert not context.world.lagging()


@behave.when("an operator changes the spread catalogue")
def changed(context):
    """Once."""
    context.world.put(_document(context.world.store.version + 1))


@behave.then("within {seconds:d} s it is in force at every spread VM")
def in_force(context, seconds):
    """And nobody went back."""
    world = context.world
    took = world.fleet.run_until(lambda: not world.lagging(), seconds)
    assert took is not None, world.lagging()
    for applied in world.applied.values():
        versions = [version for version, _ in applied]
        assert versions == sorted(set(versions))


@behave.when("the spread store goes down and a VM starts")
def starts_without(context):
    """It knows first contacts only."""
    world = context.world
    world.store.up = False
    node = world.fleet.add(virtual.member_of("new", "d0"), context.seeds)
    world.join(node)


@behave.when('the spread watchers of "{place}" lose the store')
def lose_store(context, place):
    """Their connections are silent."""
    watchers = context.world.store.watchers
    lost = [
        vm for vm, node in watchers.items() if node.member.data_centre == place
    ]
    assert lost
    for vm in lost:
        del watchers[vm]


@behave.given("a spread with version 5 in force")
def at_five(context):
    """Documents with a "bad" section are refused."""
    context.clock, context.spread = _spread(
        lambda document, version: "bad" if "bad" in document else None
    )
    context.found = context.spread.stored(5, _document(5))
    assert isinstance(context.found[0], wanted.Apply)


@behave.when("the spread store shows version 3")
def store_older(context):
    """It was restored."""
    context.found = context.spread.stored(3, _document(3))


@behave.when("the spread store shows another document as version 5")
def store_clash(context):
    """Twice."""
    context.found = context.spread.stored(5, _document(9))
    context.found += context.spread.stored(5, _document(9))


@behave.when("a peer mentions version 5 with another digest")
def peer_clash(context):
    """Twice."""
    context.found = context.spread.heard(5, 1, "p1")
    context.found += context.spread.heard(5, 1, "p1")


@behave.when("the spread store shows a bad document as version 6")
def store_bad(context):
    """And peers go on about it."""
    bad = dict(_document(6), bad={})
    context.found = context.spread.stored(6, bad)
    context.found += context.spread.answered("p1", _whole(6, bad))
    context.found += context.spread.heard(6, deltas.digest_of(bad), "p1")
    context.clock.advance(1.0)
    context.found += context.spread.tick()


@behave.when("a peer gives version 6 with a wrong digest")
def wrong_digest(context):
    """Something changed it on the way."""
    context.found = context.spread.answered("p1", _whole(6, digest=1))


def _stays(context, kind):
    assert context.spread.in_force.version == 5
    assert context.spread.in_force.document == _document(5)
    assert [type(action) for action in context.found] == [kind]


@behave.then("version 5 stays in force and the older store is reported")
def behind(context):
    """Loudly."""
    _stays(context, wanted.StoreBehind)


@behave.then("version 5 stays in force and the clash is reported once")
def clash(context):
    """Loudly, but not at each mention."""
    _stays(context, wanted.DigestClash)


@behave.then("version 5 stays in force and the bad one is reported once")
def bad(context):
    """It is not fetched again either."""
    _stays(context, wanted.Invalid)


@behave.then("a good version 7 is taken")
def good(context):
    """The bad one does not stand in its way."""
    context.spread.stored(7, _document(7))
    assert context.spread.in_force.version == 7


@behave.when("a rumour brings version 8 as a change of version 7")
def unfit(context):
    """This VM missed versions 6 and 7."""
    rumour = pb.Rumour()
    rumour.catalogue.version = 8
    rumour.catalogue.digest = deltas.digest_of(_document(8))
    delta = rumour.catalogue.delta
    delta.version, delta.digest = 8, rumour.catalogue.digest
    delta.base_version, delta.base_digest = 7, 77
    context.found = context.spread.rumoured(rumour, "p2")


@behave.then("the spread fetches from the VM that passed it on")
def fetches(context):
    """Saying what it has."""
    (fetch,) = context.found
    assert isinstance(fetch, wanted.FetchFrom) and fetch.vm == "p2"
    assert fetch.message.have_version == 5


@behave.then("a failed fetch is tried again at another VM")
def fetched_again(context):
    """After a short while, whoever it is."""
    context.spread.fetch_failed("p2")
    assert not context.spread.tick()
    context.clock.advance(spread.FETCH_RETRY_S)
    (fetch,) = context.spread.tick()
    context.spread.answered(fetch.vm, _whole(8))
    assert context.spread.in_force.version == 8
    context.clock.advance(5.0)
    assert not context.spread.tick()
