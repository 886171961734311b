"""Steps for tests/requests/keys.feature."""

import random

from behave import then
import hypothesis
from hypothesis import strategies

from apricotlever.requests import keys

texts = strategies.text(min_size=1, max_size=12)


@then("no altered key and no key of another customer is valid")
def _altered_keys(context):
    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(texts, texts, strategies.integers(0, 10**6), texts)
    def check(vm, customer, minted_s, other_customer):
        rng = random.Random(minted_s)
        secret = keys.new_secret(rng)
        key = keys.mint(vm, 7, minted_s, customer, secret, rng)
        parsed = keys.parse(key)
        assert (parsed.vm, parsed.incarnation) == (vm, 7)
        assert parsed.minted_s == minted_s
        assert keys.verify(parsed, customer, secret)
        same = other_customer == customer
        assert keys.verify(parsed, other_customer, secret) == same
        assert not keys.verify(parsed, customer, keys.new_secret(rng))
        for name in ("vm", "nonce", "mac"):
            forged = keys.parse(key)
            setattr(forged, name, getattr(forged, name) + "0")
            assert not keys.verify(forged, customer, secret)

    check()


@then("these texts are not minted keys")
def _malformed_keys(context):
    texts = [row["text"] for row in context.table]
    assert [keys.parse(text) for text in texts] == [None] * len(texts)
