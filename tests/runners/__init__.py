"""Features, naive versions and helpers of the package of this name."""
