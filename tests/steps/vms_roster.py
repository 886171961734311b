"""Steps for the roster of members."""

import behave
import hypothesis
from hypothesis import strategies

from apricotlever import clock as clocks
from apricotlever.links import peer_pb2 as pb
from apricotlever.vms import roster

TOMBSTONE_S = 60.0
QUICK = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=200
)
STATES = (pb.VM_ALIVE, pb.VM_LEAVING, pb.VM_SUSPECT, pb.VM_DEAD)


def _record(incarnation, refutation, state, leaving):
    return pb.Member(
        vm="a",
        incarnation=incarnation,
        refutation=refutation,
        state=state,
        leaving=leaving or state == pb.VM_LEAVING,
    )


RECORDS = strategies.lists(
    strategies.builds(
        _record,
        strategies.integers(1, 2),
        strategies.integers(0, 2),
        strategies.sampled_from(STATES),
        strategies.just(False),
    ),
    min_size=2,
    max_size=6,
)


def _merged(records):
    merged = roster.Roster(clocks.ManualClock(), TOMBSTONE_S)
    for record in records:
        merged.merge(record)
    return merged.get("a")


def _last_wins(records):
    return records[-1]


def _essence(record):
    return roster.precedence(record)


@behave.then("any order of the same records gives the same roster")
def order_does_not_matter(context):
    """Merging commutes in incarnation and death; the greatest record wins."""

    @QUICK
    @hypothesis.given(RECORDS, strategies.randoms(use_true_random=False))
    def check(records, rng):
        shuffled = list(records)
        rng.shuffle(shuffled)
        one, other = _merged(records), _merged(shuffled)
        assert one.incarnation == other.incarnation
        assert (one.state == pb.VM_DEAD) == (other.state == pb.VM_DEAD)
        assert max(map(roster.precedence, records)) <= roster.precedence(one)

    check()


@behave.then(
    "some order of the same records gives a wrong last-record-wins roster"
)
def last_record_misleads(context):
    """The previous check fails for the naive version."""

    @QUICK
    @hypothesis.given(RECORDS, strategies.randoms(use_true_random=False))
    def check(records, rng):
        shuffled = list(records)
        rng.shuffle(shuffled)
        one, other = _last_wins(records), _last_wins(shuffled)
        assert one.incarnation == other.incarnation
        assert (one.state == pb.VM_DEAD) == (other.state == pb.VM_DEAD)

    try:
        check()
    except AssertionError:
        return
    raise AssertionError("the naive roster passed the check")


@behave.given('a roster that knows that "a" leaves')
def knows_leave(context):
    """The VM announced it itself."""
    context.roster = roster.Roster(clocks.ManualClock(), TOMBSTONE_S)
    context.roster.merge(_record(1, 1, pb.VM_LEAVING, True))


@behave.when('the roster receives a suspicion of "a" without the leave')
def receives_suspicion(context):
    """The suspicion has precedence over the leave."""
    context.roster.merge(_record(1, 1, pb.VM_SUSPECT, False))


@behave.then('the roster records "a" as suspect and leaving')
def suspect_and_leaving(context):
    """The suspicion does not clear the leave."""
    record = context.roster.get("a")
    assert (record.state, record.leaving) == (pb.VM_SUSPECT, True)


@behave.given('a roster that recorded the death of "a"')
def recorded_death(context):
    """The VM was recorded as alive before."""
    context.clock = clocks.ManualClock()
    context.roster = roster.Roster(context.clock, TOMBSTONE_S)
    context.roster.merge(_record(1, 0, pb.VM_ALIVE, False))
    context.roster.merge(_record(1, 0, pb.VM_DEAD, False))


@behave.when('an older roster record says that "a" is alive')
def older_record(context):
    """The record comes from a stale view of another VM."""
    context.clock.advance(TOMBSTONE_S / 2)
    context.roster.purge()
    context.merged = context.roster.merge(_record(1, 0, pb.VM_ALIVE, False))


@behave.then('the roster still records "a" as dead')
def still_dead(context):
    """The older record has no effect."""
    assert context.merged is None
    assert "a" not in context.roster.live


@behave.when("the roster's tombstones have expired")
def tombstones_expired(context):
    """The time of the tombstones passes."""
    context.clock.advance(TOMBSTONE_S)
    context.roster.purge()


@behave.then('the roster has no record of "a"')
def forgotten(context):
    """Not even the record of its death remains."""
    assert context.roster.get("a") is None
