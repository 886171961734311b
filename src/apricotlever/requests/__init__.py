"""Requests: idempotency keys, the ledger, streams and their recovery."""
