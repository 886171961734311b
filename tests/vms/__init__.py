"""Naive versions and helpers for the tests of ``apricotlever.vms``."""
