"""Membership views of entry VMs, and the addresses that callers get."""
