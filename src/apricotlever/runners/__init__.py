"""Routing to runners: load, prefix caches, health and crash handling."""
