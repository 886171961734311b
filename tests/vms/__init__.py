"""Naive baselines and simulations for the tests of ``apricotlever.vms``."""
