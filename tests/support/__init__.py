"""Processes, clients and network faults for tests, demo and benchmarks."""
