"""Idempotency keys, their ledger, request records and stream recovery."""
