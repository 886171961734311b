"""A randomized soak of the request path: real processes, faults from outside.

``python -m soak --seeds 5``
"""
