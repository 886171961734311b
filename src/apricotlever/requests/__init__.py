"""Idempotency keys, their ledger, request records and stream recovery.

A key identifies one call of one customer, so that retries don't run the call
twice; see :mod:`.ledger`. A record holds what another VM needs to continue a
request; see :mod:`.records`. :mod:`.recovery` decides how a stream continues
when its runner leaves or fails.
"""
