"""Steps for rendezvous hashing."""

import behave
import hypothesis
from hypothesis import strategies

from apricotlever.vms import rendezvous

NAMES = strategies.sets(
    strategies.text("abcdef", min_size=1, max_size=4), min_size=2, max_size=9
)
KEYS = [f"key/{i}" for i in range(30)]
QUICK = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=50
)


@behave.then("removing any name moves only the keys assigned to that name")
def moves_only_own_keys(context):
    """All other keys stay where they are."""

    @QUICK
    @hypothesis.given(NAMES)
    def check(names):
        gone = min(names)
        for key in KEYS:
            before = rendezvous.pick(key, names)
            after = rendezvous.pick(key, names - {gone})
            assert before in (gone, after)

    check()


@behave.then("rendezvous ranks depend only on the set of names")
def depends_on_set_only(context):
    """Order and duplicates do not matter; the first rank is the pick."""

    @QUICK
    @hypothesis.given(NAMES, strategies.randoms(use_true_random=False))
    def check(names, rng):
        shuffled = sorted(names) * 2
        rng.shuffle(shuffled)
        for key in KEYS:
            ranked = rendezvous.rank(key, names)
            assert ranked == rendezvous.rank(key, shuffled)
            assert ranked[0] == rendezvous.pick(key, shuffled)

    check()
