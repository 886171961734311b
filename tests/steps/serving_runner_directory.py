"""Steps for tests/serving/runner_directory.feature."""

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import runner_directory as directories
from apricotlever.serving import runners
from apricotlever.serving import store
from apricotlever.serving import store_listeners
from apricotlever.vms import notices


def _runner(name, revision, leaving=False):
    return runners.Runner(
        name, "s", "10.0.0.1", 80, "dc", 4, leaving, revision=revision
    )


@given("a directory with the runners r1 and r2")
def _directory(context):
    context.clock = clocks.ManualClock()
    context.directory = directories.RunnerDirectory(context.clock)
    context.directory.apply_list([_runner("r1", 1), _runner("r2", 2)], 2)


@when("the store says that r1 is leaving")
def _store_lists_as_leaving(context):
    assert context.directory.apply_entry(_runner("r1", 5, True)) == ["r1"]


@when("the store removes the entry of r1")
def _store_removes(context):
    context.directory.apply_removal("r1", 6)


@step("the store recovers without r1")
def _recovers_without(context):
    context.directory.extend_removal_grace()
    context.directory.apply_list([_runner("r2", 2)], 9)


@step("the entry of r1 is written again")
def _entry_rewritten(context):
    context.directory.apply_entry(_runner("r1", 10))


@step("a peer sends its outdated entry of r1")
def _outdated_entry(context):
    context.directory.merge_changes([_runner("r1", 1)], {})


@when("a peer sends the removal of r1 and the entry of r3")
def _peer_changes(context):
    context.directory.merge_changes([_runner("r3", 8)], {"r1": 7})


@step("new work goes to {names} alone")
def _work_goes_to_one(context, names):
    _assert_available(context, names)


@step("new work goes to {first} and {second}")
def _work_goes_to_two(context, first, second):
    _assert_available(context, f"{first} {second}")


@then("after {seconds:f} seconds new work goes to {first} and {second}")
def _work_later_goes_to_two(context, seconds, first, second):
    _wait(context, seconds)
    _assert_available(context, f"{first} {second}")


@step("after {seconds:f} seconds new work goes to {name} alone")
def _work_later_goes_to_one(context, seconds, name):
    _wait(context, seconds)
    _assert_available(context, name)


@then("r1 is removed")
def _removed(context):
    assert context.directory.get("r1") is None


def _wait(context, seconds):
    context.clock.advance(seconds)
    context.directory.tick()


def _assert_available(context, names):
    found = [r.runner_id for r in context.directory.available_runners("s")]
    assert sorted(found) == sorted(names.split()), found


@given("two VMs' directories that follow the store and each other")
def _two_directories(context):
    clock = context.clock = clocks.ManualClock()
    context.one, context.other = (
        directories.RunnerDirectory(clock) for _ in range(2)
    )
    for directory in (context.one, context.other):
        directory.apply_list([_runner("r1", 1), _runner("r2", 2)], 2)


@when("the watch of one delivers the removal of r1")
def _one_reads_removal(context):
    entries = store_listeners.RunnerEntryListener(
        context.one, None, lambda ended: None
    )
    removed = store.Change(store.StoredObject("r1", 1, {}, None), True)
    entries.changed(store.Changes([removed], 7))


@step("a peer sends the rewritten entry of r1")
def _rewritten_entry(context):
    context.directory.merge_changes([_runner("r1", 8)], {})


class Platform:
    """A dialect of the platform that decodes entries of runners."""

    def parse_runner(self, stored):
        """The runner of an entry."""
        return _runner(stored.name, stored.revision)


def _deliver(context, changes, revision):
    entries = store_listeners.RunnerEntryListener(
        context.directory, Platform(), lambda ended: None
    )
    entries.changed(
        store.Changes(
            [
                store.Change(store.StoredObject("r1", at, {}, None), deleted)
                for at, deleted in changes
            ],
            revision,
        )
    )


@step("a watch delivers the removal of r1 and its rewritten entry")
def _removal_and_entry(context):
    _deliver(context, [(1, True), (8, False)], 9)


@step("a watch delivers the removal of r1 alone")
def _old_removal(context):
    _deliver(context, [(1, True)], 5)


@step("a watch delivers the rewritten entry of r1 and its removal")
def _entry_and_removal(context):
    _deliver(context, [(8, False), (8, True)], 9)


@then("the other has an older revision, and learns that r1 is removed")
def _other_catches_up(context):
    assert context.one.revision > context.other.revision
    context.other.merge_changes(
        *context.one.changes_after(context.other.revision)
    )
    assert context.other.get("r1") is None


@then("both have the same revision afterwards")
def _same_revision(context):
    assert context.one.revision == context.other.revision
    context.one.merge_changes(*context.other.changes_after(0))
    assert context.one.revision == context.other.revision


@when("one delays the removal of r1 and sends the entry of r3")
def _one_delays_removal(context):
    context.one.extend_removal_grace()
    assert context.one.apply_removal("r1", 7) == []
    context.one.apply_entry(_runner("r3", 9))
    context.other.merge_changes(
        *context.one.changes_after(context.other.revision)
    )


@when("one removes r1 after {seconds:f} seconds")
def _removes_later(context, seconds):
    context.clock.advance(seconds)
    assert context.one.tick() == ["r1"]


@then("the other's runners are those of one")
def _same_checksum(context):
    assert context.one.checksum == context.other.checksum


@then("both differ from a third that has applied the removal")
def _third_differs(context):
    context.third = directories.RunnerDirectory(context.clock)
    context.third.apply_list([_runner("r1", 1), _runner("r2", 2)], 2)
    context.third.apply_removal("r1", 7)
    context.clock.advance(0.5)
    assert context.third.tick() == ["r1"]
    context.third.apply_entry(_runner("r3", 9))
    assert context.third.revision == context.other.revision
    assert context.third.checksum != context.other.checksum


@then("with all changes from the third both apply it, too")
def _both_apply(context):
    for directory in (context.one, context.other):
        directory.merge_changes(*context.third.changes_after(-1))
        assert directory.checksum == context.third.checksum


@then("one sends the removal with its revision {revision:d}")
def _sends_removal(context, revision):
    assert context.one.changes_after(-1)[1] == {"r1": revision}


@given("a directory with {count:d} more runners")
def _more_runners(context, count):
    _directory(context)
    for number in range(count):
        context.directory.apply_entry(_runner(f"m{number}", 3 + number))


@when("the store removes {count:d} of them at once")
def _removes_many(context, count):
    for number in range(count):
        context.directory.apply_removal(f"m{number}", 50 + number)


@then("after {seconds:f} seconds {count:d} runners take new work")
def _available_count(context, seconds, count):
    _wait(context, seconds)
    assert len(context.directory.available_runners("s")) == count


@when("{seconds:f} seconds pass at the directory and the store removes r2")
def _removes_one_more(context, seconds):
    _wait(context, seconds)
    context.directory.apply_removal("r2", 80)


@step("a notice says that r1 is leaving at revision {revision:d}")
def _notice(context, revision):
    directory = context.directory
    context.before = directory.revision, directory.checksum
    directory.mark_leaving(notices.Notice("r1", 0, revision))


@then("the revision and the checksum are as before")
def _unchanged(context):
    directory = context.directory
    assert (directory.revision, directory.checksum) == context.before


@step("a peer sends the entry of r1 with revision {revision:d}")
def _entry_at(context, revision):
    context.directory.merge_changes([_runner("r1", revision)], {})


@given("another VM's directory in which the entry of r1 is unreadable")
def _unreadable(context):
    context.other = directories.RunnerDirectory(context.clock)
    context.other.apply_list([_runner("r1", 1), _runner("r2", 2)], 2)
    context.other.apply_entry(runners.UnreadableEntry("r1", 5, "spoiled"))
    context.board = notices.NoticeBoard(context.clock)
    context.board.connect(context.other)


@step("the notices of the other VM arrive")
def _notices_arrive(context):
    own = notices.NoticeBoard(context.clock)
    own.connect(context.directory)
    for notice in own.receive(context.board.due()):
        context.directory.mark_leaving(notice)


@when("the entry of r1 becomes readable again at both VMs")
def _readable(context):
    for directory in (context.directory, context.other):
        directory.apply_entry(_runner("r1", 6))


@step("r1 restarts under its name with revision {revision:d}")
def _restarts(context, revision):
    runner = runners.Runner(
        "r1", "s", "10.0.0.1", 80, "dc", 4, revision=revision, born=70
    )
    context.directory.apply_entry(runner)


@step("after {seconds:f} seconds marks expired are {answer}")
def _expired(context, seconds, answer):
    context.clock.advance(seconds)
    assert context.directory.expire_marks() == (answer == "yes")


@given("two directories with one runner, as v1 and as v2")
def _directories_of_versions(context):
    context.both = []
    for version in ("v1", "v2"):
        directory = directories.RunnerDirectory(clocks.ManualClock())
        entry = runners.Runner("r1", "s", "h", 1, "dc", 4, version=version)
        directory.apply_entry(entry)
        context.both.append(directory)


@then("their checksums differ")
def _check_checksums_differ(context):
    one, other = context.both
    assert one.checksum != other.checksum


@then("its streams have different origins")
def _check_origins_differ(context):
    one, other = (d.runners[0].origin for d in context.both)
    assert one != other
