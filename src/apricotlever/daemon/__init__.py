"""The daemon that every entry VM runs."""
