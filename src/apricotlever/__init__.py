"""A serving system for language models and plain services."""

__version__ = "0.1.0"
