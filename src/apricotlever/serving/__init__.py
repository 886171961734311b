"""The request path of an entry VM, on one event loop.

Calls arrive at :mod:`.caller_server`, pass through :mod:`.call_relay` and are
sent to runners by :mod:`.client_channel`. The protocols of callers, runners
and platform are dialects, which register in :mod:`.dialects`. No module here
depends on a particular platform. Decisions, such as the choice of a runner,
are made by classes without input or output in other packages.
"""
