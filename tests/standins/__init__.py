"""Proofs that the stand-ins keep what they promise."""
