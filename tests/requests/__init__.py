"""Helpers for the tests of requests."""
