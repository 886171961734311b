"""Helpers for the tests of roll-outs."""
