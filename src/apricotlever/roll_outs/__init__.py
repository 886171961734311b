"""Progressive delivery of new versions of services."""
