"""Capacity planning: how many runners to buy, of which kind, and where."""
