"""Failure tests of whole daemons, as processes."""
