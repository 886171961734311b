"""Helpers of the tests of roll-outs."""
