"""Membership of entry VMs, ownership, and addresses for callers."""
