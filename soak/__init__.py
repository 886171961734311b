"""Randomized soak test of the request path.

The test runs real processes and injects faults from outside of them.

``python -m soak --seeds 5``
"""
