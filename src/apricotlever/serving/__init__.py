"""The path of requests through an entry VM, on one event loop.

Callers' calls come in by :mod:`.callers`, go through :mod:`.relay` and leave
by :mod:`.channels`. What is spoken on either side, and with the platform, is
a dialect that registers in :mod:`.dialects`; nothing here knows the names of
any platform. The decisions that the path asks are pure classes elsewhere in
the package.
"""
