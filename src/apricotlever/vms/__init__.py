"""The entry VMs: membership, drains, duties, leases and configuration."""
