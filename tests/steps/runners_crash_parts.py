"""Steps for tests/runners/crash_parts.feature."""

import itertools
import json

from behave import given
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.runners import call_features
from apricotlever.runners import crash_blocklist
from tests.runners import crash_part_fleet as fleets

PLAY_S = 40.0
#: From the last crash until sound calls are counted, in seconds, and the least
#: time for which they are.
SETTLE_S = 1.0
COUNTED_S = 5.0
BAD_SINCE_S = 5.0
DATA_CENTRE = "dc"
RECORD_INTERVAL_S = 0.2


@given("{count:d} VMs whose records are lost one time in five")
def _vms(context, count):
    assert fleets.LOST_RECORD_SHARE == 0.2
    context.vm_count = count
    context.make = crash_blocklist.CrashBlocklist


@given('{rate:d} calls a second with the part "{part}"')
def _sound(context, rate, part):
    context.sound = lambda: [fleets.Kind((part,), rate)]


def _kind(rate, parts, **more):
    parts = tuple(parts.split())
    bad = next((p for p in parts if p.startswith("bad")), "")
    return fleets.Kind(parts, rate, bad, since=BAD_SINCE_S, **more)


@given('from 5 s on {rate:d} calls a second with "{parts}"')
def _bad(context, rate, parts):
    context.kinds = lambda: [_kind(rate, parts)]


@given(
    'from 5 s on {rate:d} calls a second with "{parts}", which are all equal'
)
def _bad_repeats(context, rate, parts):
    context.kinds = lambda: [_kind(rate, parts, repeats=True)]


@given(
    'from 5 s on {rate:d} calls a second with "{parts}", and {sound:d} with '
    '"{first}" and with "{second}" each'
)
def _bad_with_company(context, rate, parts, sound, first, second):
    context.kinds = lambda: [
        _kind(rate, parts),
        _kind(sound, first),
        _kind(sound, second),
    ]


@given(
    'from 5 s on {rate:d} calls a second with "{parts}" and with "{others}" '
    "each"
)
def _two_bad(context, rate, parts, others):
    context.kinds = lambda: [_kind(rate, parts), _kind(rate, others)]


@given(
    "from 5 s on {rate:d} call a second of each of {count:d} customers with "
    '"{parts}"'
)
def _bad_of_customers(context, rate, count, parts):
    context.kinds = lambda: [
        _kind(rate, parts, customer=f"customer-{n}") for n in range(count)
    ]


@given("from 5 s on no calls with a bad part")
def _no_bad(context):
    context.kinds = list


@when("nothing else happens")
def _nothing(context):
    context.play = lambda fleet: fleet.run(PLAY_S)


@when("{count:d} of 9 runners are killed twice")
def _kills(context, count):
    def play(fleet):
        for at in (6.0, 6.5):
            fleet.run(at)
            fleet.kill(count)
        fleet.run(PLAY_S)

    context.play = play


@when("VMs restart in turn")
def _restarts(context):
    def play(fleet):
        for number, at in enumerate(range(8, int(PLAY_S), 3)):
            fleet.run(at)
            fleet.restart_vm(number % context.vm_count)
        fleet.run(PLAY_S)

    context.play = play


def _simulate(context, count):
    for seed in range(count):
        kinds = [*context.sound(), *context.kinds()]
        fleet = fleets.Fleet(seed, kinds, context.vm_count, make=context.make)
        context.play(fleet)
        yield fleet


@then(
    "in any of {count:d} simulations at most {most:d} calls with a bad part "
    "reach runners later than 3 s after its fifth crash"
)
def _few_late(context, count, most):
    context.fleets = list(_simulate(context, count))
    late = [
        (part, fleet.late_runs(part), len(crashes))
        for fleet in context.fleets
        for part, crashes in fleet.bad_crashes.items()
    ]
    assert all(each[1] <= most for each in late), late


@then(
    "at least half of the sound calls are let run from a second after the "
    "last crash on"
)
def _sound_run(context):
    for fleet in context.fleets:
        crashes = itertools.chain(*fleet.bad_crashes.values())
        last = max(crashes, default=BAD_SINCE_S)
        since = min(last + SETTLE_S, PLAY_S - COUNTED_S)
        shares = [
            (kind.parts, kind.share_admitted(since))
            for kind in fleet.kinds
            if not kind.bad_part
        ]
        assert all(share >= 0.5 for _, share in shares), shares


class _ByFingerprint(crash_blocklist.CrashBlocklist):
    """Naive: knows a call by its fingerprint alone."""

    __slots__ = ()

    @property
    def causes(self):
        return ()


@then(
    "in each of {count:d} simulations by fingerprints alone over {least:d} of "
    "them reach runners late"
)
def _many_late(context, count, least):
    context.make = _ByFingerprint
    late = [each.late_runs("bad") for each in _simulate(context, count)]
    assert min(late) > least, late


def _world(context):
    if not hasattr(context, "vm"):
        context.clock = clocks.ManualClock(100.0)
        context.numbers = itertools.count()
        context.fragile = frozenset()
        context.vm = _make_vm(context, "vm-1")
    return context


def _make_vm(context, name):
    made = crash_blocklist.CrashBlocklist(
        context.clock,
        name,
        lambda runner: runner in context.fragile,
    )
    made.set_sizes({DATA_CENTRE: 9})
    return made


def _features(context, parts, customer="c"):
    number = next(context.numbers)
    return call_features.CallFeatures(
        f"{number:016x}", customer, parts.split()
    )


def _crash(context, runner, *calls, call=None):
    context.clock.advance(1.0)
    for features in calls:
        context.vm.connection_broken(runner, features, call)
    context.vm.runner_crashed(runner, DATA_CENTRE, False)


@given("calls with the parts {parts} that crashed {first} and {second}")
def _crashed_two(context, parts, first, second):
    _world(context)
    for runner in (first, second):
        _crash(context, runner, _features(context, parts))


@given("a call with the parts {parts} that crashed {runner}")
def _crashed_one(context, parts, runner):
    _crash(_world(context), runner, _features(context, parts))


@given(
    "one and the same call with the parts {parts} at the crashes of {first} "
    "and {second}"
)
def _same_crashed(context, parts, first, second):
    features = _features(_world(context), parts)
    for runner in (first, second):
        _crash(context, runner, features)


@given(
    "two calls of customer {customer} with the parts {parts}, which crashed "
    "{first} and {second}"
)
def _customer_crashed_two(context, customer, parts, first, second):
    _world(context)
    for runner in (first, second):
        _crash(context, runner, _features(context, parts, customer))


@given(
    "one call of customer {customer} with the parts {parts}, which crashed "
    "{runner}"
)
def _customer_crashed(context, customer, parts, runner):
    _crash(_world(context), runner, _features(context, parts, customer))


@given(
    "crashes of r1 and r2, each with a call with the part bad and {count:d} "
    "others"
)
def _crashed_with_others(context, count):
    _world(context)
    for runner in ("r1", "r2"):
        # The others' fingerprints are smaller.
        others = [_features(context, "other") for _ in range(count)]
        _crash(context, runner, *others, _features(context, "bad"))
    # An answer shows that the other part is sound.
    context.vm.answered(_features(context, "other"))


@given(
    "fragile runners, and calls with the part {part} that crashed {count:d} "
    "of them"
)
def _crashed_fragile(context, part, count):
    _world(context)
    context.fragile = frozenset(f"r{number}" for number in range(count))
    for runner in sorted(context.fragile):
        _crash(context, runner, _features(context, part))


@given("fragile runners, and one call that crashed {count:d} of them")
def _one_crashed_fragile(context, count):
    _world(context)
    context.fragile = frozenset(f"r{number}" for number in range(count))
    context.features = _features(context, "own")
    for runner in sorted(context.fragile):
        _crash(context, runner, context.features)


@then("that call is not blocked")
def _call_runs(context):
    assert context.vm.retry_after_s(context.features) is None


def _get_records(context, seconds):
    for number in range(round(seconds / RECORD_INTERVAL_S)):
        context.clock.advance(RECORD_INTERVAL_S)
        context.vm.tick()
        record = context.vm.next_record(number % 5 == 0)
        if record is not None:
            yield record


@when(
    "another VM gets the records of {seconds:d} seconds, each of at most "
    "{most:d} characters"
)
def _gets_records(context, seconds, most):
    context.other = _make_vm(context, "vm-2")
    for record in _get_records(context, seconds):
        assert len(json.dumps(record)) <= most, len(json.dumps(record))
        context.other.merge_record("vm-1", record)


@when(
    "after {pause:d} s another VM starts and gets the records of "
    "{seconds:d} seconds"
)
def _starts_later(context, pause, seconds):
    for _ in range(pause):
        context.clock.advance(1.0)
        context.vm.tick()
    _gets_records(context, seconds, 4096)


@when(
    "the first VM finds that it has reached no runner for {seconds:d} seconds"
)
def _finds_itself_cut_off(context, seconds):
    context.vm.retract(context.clock.now() - seconds)
    for record in _get_records(context, 1.0):
        context.other.merge_record("vm-1", record)


def _check(vm, features, does):
    blocked = {"blocks": True, "lets run": False}[does]
    wait_s = vm.retry_after_s(features)
    assert (wait_s is not None) == blocked, wait_s


@then("the VM {does} a call of customer {customer} with the parts {parts}")
def _check_customer(context, does, customer, parts):
    _check(context.vm, _features(context, parts, customer), does)


@then("the VM {does} a call with the parts {parts}")
def _check_own(context, does, parts):
    _check(context.vm, _features(context, parts), does)


@then("the other VM {does} a call with the parts {parts}")
def _check_other(context, does, parts):
    _check(context.other, _features(context, parts), does)


@when("a call of customer {customer} with the parts {parts} is answered")
def _answered(context, customer, parts):
    context.clock.advance(0.1)
    context.vm.answered(_features(context, parts, customer))


@when("{seconds:d} seconds pass at the VM")
def _pass(context, seconds):
    for _ in range(seconds):
        context.clock.advance(1.0)
        context.vm.tick()


@then("one call with the parts {parts} may run as a trial")
def _trial(context, parts):
    context.features, context.call = _features(context, parts), object()
    block = context.vm.admit(context.features, context.call)
    assert block is not None and block.is_trial, block
    other = context.vm.admit(_features(context, parts), object())
    assert other is not None and not other.is_trial, other


@when("it is answered")
def _trial_answered(context):
    context.clock.advance(0.1)
    context.vm.answered(context.features)


@when("it crashes its runner")
def _trial_crashes(context):
    _crash(context, "r9", context.features, call=context.call)


@then("no call with the parts {parts} runs in the next {seconds:d} seconds")
def _never_runs(context, parts, seconds):
    for _ in range(seconds):
        context.clock.advance(1.0)
        context.vm.tick()
        _check(context.vm, _features(context, parts), "blocks")


@when("all of {count:d} VMs have heard of it and {seconds:d} s have passed")
def _all_heard(context, count, seconds):
    names = [f"vm-{number}" for number in range(1, count + 1)]
    context.vms = [context.vm]
    context.vms += [_make_vm(context, name) for name in names[1:]]
    for record in _get_records(context, 1):
        for vm in context.vms[1:]:
            vm.merge_record("vm-1", record)
    for vm in context.vms:
        vm.set_vms(names)
    for _ in range(seconds):
        context.clock.advance(1.0)
        for vm in context.vms:
            vm.tick()


@then("{count:d} of them tell it in their whole records")
def _tellers(context, count):
    telling = [vm for vm in context.vms if vm.next_record(True)]
    assert len(telling) == count, len(telling)


@given(
    "{crashes:d} crashes, each with {calls:d} calls with {parts:d} new parts "
    "each"
)
def _many_features(context, crashes, calls, parts):
    _world(context)
    for number in range(crashes):
        context.clock.advance(1.0)
        for call in range(calls):
            names = [f"{number}x{call}x{part}" for part in range(parts)]
            features = _features(context, " ".join(names))
            context.vm.connection_broken(f"r{number}", features)
        context.vm.runner_crashed(f"r{number}", DATA_CENTRE, False)
        context.vm.tick()
    context.last = f"r{crashes - 1}"


@then("the VM keeps at most {most:d} features, and the last crash")
def _features_limited(context, most):
    record = context.vm.next_record(False)
    assert context.last in {entry[0] for entry in record[0]}
    assert 0 < context.vm.feature_count <= most, context.vm.feature_count
