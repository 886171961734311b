"""Helpers of the tests of the benchmarks."""
