"""Upstreams: load, prefix caches, routing, health and orders."""
