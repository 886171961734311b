"""Helpers of the tests of data centres."""
