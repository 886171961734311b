"""The catalogue: entries, classes, customers, limits and their versions."""
