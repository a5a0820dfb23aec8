"""Clients of the configuration log and the VM list of the platform."""
