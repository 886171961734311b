"""Coordination of the entry VMs: membership, duties, leases, catalogue."""
