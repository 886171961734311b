"""Precedence of the entries of a runner that arrive in any order."""

from . import runners as runners_


def resolve(
    known: runners_.Runner | None, entry: runners_.RunnerEntry
) -> runners_.Runner:
    """The state of a runner after its entry has changed.

    :param known: the state before; None for an unknown runner.
    """
    if isinstance(entry, runners_.UnreadableEntry):
        if known is None:
            return runners_.Runner.placeholder(entry.name, entry.revision)
        return known.withdraw(entry.revision)
    if known is None:
        return entry
    if entry.withdrawn or (known.born and not entry.born):
        # A runner that reports its start always reports it, so another
        # program wrote this entry.
        return known.withdraw(entry.revision)
    return entry


def supersedes(known: runners_.Runner, update: runners_.Runner) -> bool:
    """Whether an update takes precedence over the known state of a runner.

    The store may apply a write long after it was sent. A late heartbeat has a
    higher revision than the entry that it overwrites. Comparing revisions
    alone would restore an incarnation that has ended, or send work to one
    that has announced that it is leaving.
    """
    later = update.revision > known.revision
    if update.withdrawn:
        return later
    if known.withdrawn:
        return later and update.born >= known.born
    if known.born != update.born:
        return update.born > known.born if known.born else later
    if known.leaving != update.leaving and known.sequence != update.sequence:
        return update.sequence > known.sequence
    return later
