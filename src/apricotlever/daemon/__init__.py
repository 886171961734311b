"""The daemon that every entry VM runs.

An entry VM accepts requests of callers over HTTP and forwards them to
runners, the upstreams that execute them.
"""
