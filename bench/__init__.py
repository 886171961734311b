"""Benchmarks, the load tool and the demo."""
