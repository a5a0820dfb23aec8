"""Clients of the store and the VM list of the platform."""
