"""Stand-ins for the callers, runners and platform of the review's cases."""
