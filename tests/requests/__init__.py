"""Helpers of the tests of requests."""
