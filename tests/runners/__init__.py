"""Features, naive reference versions and helpers for the runners package."""
