"""Steps for tests/serving/directory.feature."""

from behave import given
from behave import step
from behave import then
from behave import when

from apricotlever import clock as clocks
from apricotlever.serving import directory as directories
from apricotlever.serving import listeners
from apricotlever.serving import runners
from apricotlever.serving import store


def _runner(name, revision, leaving=False):
    return runners.Runner(
        name, "s", "10.0.0.1", 80, "dc", 4, leaving, revision=revision
    )


@given("a directory with the runners r1 and r2")
def _directory(context):
    context.clock = clocks.ManualClock()
    context.directory = directories.Directory(context.clock)
    context.directory.listed([_runner("r1", 1), _runner("r2", 2)], 2)


@when("the store says that r1 is leaving")
def _leaving(context):
    assert context.directory.changed(_runner("r1", 5, True)) == ["r1"]


@when("the store removes the entry of r1")
def _removes(context):
    context.directory.removed("r1", 6)


@step("the store comes back without r1")
def _back(context):
    context.directory.store_returned()
    context.directory.listed([_runner("r2", 2)], 9)


@step("the entry of r1 is written again")
def _again(context):
    context.directory.changed(_runner("r1", 10))


@step("a peer tells its old news of r1")
def _old(context):
    context.directory.heard([_runner("r1", 1)], {})


@when("a peer tells that r1 is gone and r3 has come")
def _peer(context):
    context.directory.heard([_runner("r3", 8)], {"r1": 7})


@step("new work goes to {names} alone")
def _alone(context, names):
    _goes(context, names)


@step("new work goes to {first} and {second}")
def _two(context, first, second):
    _goes(context, f"{first} {second}")


@then("after {seconds:f} seconds new work goes to {first} and {second}")
def _later_two(context, seconds, first, second):
    _wait(context, seconds)
    _goes(context, f"{first} {second}")


@step("after {seconds:f} seconds new work goes to {name} alone")
def _later(context, seconds, name):
    _wait(context, seconds)
    _goes(context, name)


@then("r1 is gone")
def _gone(context):
    assert context.directory.get("r1") is None


def _wait(context, seconds):
    context.clock.advance(seconds)
    context.directory.tick()


def _goes(context, names):
    found = [r.runner_id for r in context.directory.of_service("s")]
    assert sorted(found) == sorted(names.split()), found


@given("two VMs' directories that follow the store and each other")
def _two_directories(context):
    clock = context.clock = clocks.ManualClock()
    context.one, context.other = (
        directories.Directory(clock) for _ in range(2)
    )
    for directory in (context.one, context.other):
        directory.listed([_runner("r1", 1), _runner("r2", 2)], 2)


@when("the watch of one brings the removal of r1")
def _watch(context):
    entries = listeners.Entries(context.one, None, lambda ended: None)
    removed = store.Change(store.StoredObject("r1", 1, {}, None), True)
    entries.changed(store.Changes([removed], 7))


@step("a peer tells that r1 was written again")
def _written_again(context):
    context.directory.heard([_runner("r1", 8)], {})


class Platform:
    """Reads entries of runners."""

    def runner(self, stored):
        """The runner of an entry."""
        return _runner(stored.name, stored.revision)


def _bring(context, changes, revision):
    entries = listeners.Entries(
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


@step("a watch brings the removal of r1 and that it was written again")
def _removal_and_entry(context):
    _bring(context, [(1, True), (8, False)], 9)


@step("a watch brings the removal of r1 alone")
def _old_removal(context):
    _bring(context, [(1, True)], 5)


@step("a watch brings that r1 was written again and its removal")
def _entry_and_removal(context):
    _bring(context, [(8, False), (8, True)], 9)


@then("the other sees that it is behind, and learns that r1 is gone")
def _behind(context):
    assert context.one.revision > context.other.revision
    context.other.heard(*context.one.news_after(context.other.revision))
    assert context.other.get("r1") is None


@then("neither seems to be behind any more")
def _level(context):
    assert context.one.revision == context.other.revision
    context.one.heard(*context.other.news_after(0))
    assert context.one.revision == context.other.revision


@when("one doubts the removal of r1 and tells that r3 has come")
def _doubts(context):
    context.one.store_returned()
    assert context.one.removed("r1", 7) == []
    context.one.changed(_runner("r3", 9))
    context.other.heard(*context.one.news_after(context.other.revision))


@when("one buries r1 after {seconds:f} seconds")
def _buries(context, seconds):
    context.clock.advance(seconds)
    assert context.one.tick() == ["r1"]


@then("the other's runners are those of one")
def _same(context):
    assert context.one.checksum == context.other.checksum


@then("both differ from a third that knows of the removal")
def _third(context):
    context.third = directories.Directory(context.clock)
    context.third.listed([_runner("r1", 1), _runner("r2", 2)], 2)
    context.third.removed("r1", 7)
    context.clock.advance(0.5)
    assert context.third.tick() == ["r1"]
    context.third.changed(_runner("r3", 9))
    assert context.third.revision == context.other.revision
    assert context.third.checksum != context.other.checksum


@then("with all of the third's news both know it too")
def _both(context):
    for directory in (context.one, context.other):
        directory.heard(*context.third.news_after(-1))
        assert directory.checksum == context.third.checksum


@then("one tells the removal at its revision {revision:d}")
def _told(context, revision):
    assert context.one.news_after(-1)[1] == {"r1": revision}


@given("a directory with {count:d} more runners")
def _more(context, count):
    _directory(context)
    for number in range(count):
        context.directory.changed(_runner(f"m{number}", 3 + number))


@when("the store removes {count:d} of them at once")
def _removes_many(context, count):
    for number in range(count):
        context.directory.removed(f"m{number}", 50 + number)


@then("after {seconds:f} seconds {count:d} runners take new work")
def _take(context, seconds, count):
    _wait(context, seconds)
    assert len(context.directory.of_service("s")) == count


@when("{seconds:f} seconds pass at the directory and the store removes r2")
def _one_more(context, seconds):
    _wait(context, seconds)
    context.directory.removed("r2", 80)
