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


@behave.then("removing any name moves just the keys that it had won")
def moves_own_keys(context):
    """Minimal disruption."""

    @QUICK
    @hypothesis.given(NAMES)
    def check(names):
        gone = min(names)
        for key in KEYS:
            before = rendezvous.pick(key, names)
            after = rendezvous.pick(key, names - {gone})
            assert before in (gone, after)

    check()


@behave.then("rendezvous ranks depend on the set of names only")
def set_only(context):
    """Order and doubles don't count; the first is the pick."""

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
