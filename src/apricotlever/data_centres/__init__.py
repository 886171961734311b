"""Data centres: prices, reclaim risk and planned capacity."""
