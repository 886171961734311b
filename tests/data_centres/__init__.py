"""Helpers for the tests of data centres."""
