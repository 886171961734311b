"""Real processes, callers and links for tests and the demo."""
