"""Steps for tests/requests/minted_keys.feature."""

import random

from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.requests import minted_keys

texts = strategies.text(min_size=1, max_size=12)


@then("no altered key and no key of another customer is valid")
def _altered_keys(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(texts, texts, strategies.integers(0, 10**6), texts)
    def check(vm, customer, minted_s, other_customer):
        rng = random.Random(minted_s)
        secret = minted_keys.new_secret(rng)
        key = minted_keys.mint(vm, 7, minted_s, customer, secret, rng)
        parsed = minted_keys.parse(key)
        assert (parsed.vm, parsed.incarnation) == (vm, 7)
        assert parsed.minted_s == minted_s
        assert minted_keys.verify(parsed, customer, secret)
        same = other_customer == customer
        assert minted_keys.verify(parsed, other_customer, secret) == same
        assert not minted_keys.verify(
            parsed, customer, minted_keys.new_secret(rng)
        )
        for name in ("vm", "nonce", "mac"):
            forged = minted_keys.parse(key)
            setattr(forged, name, getattr(forged, name) + "0")
            assert not minted_keys.verify(forged, customer, secret)

    check()


@then("these texts are not minted keys")
def _malformed_keys(context):
    texts = [row["text"] for row in context.table]
    assert [minted_keys.parse(text) for text in texts] == [None] * len(texts)
