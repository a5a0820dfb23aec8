"""Synchronisation of membership and fleet state between entry VMs."""
