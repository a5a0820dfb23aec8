"""Clients of the log service and the VM list of the platform."""
