"""Benchmarks and the load tool."""
