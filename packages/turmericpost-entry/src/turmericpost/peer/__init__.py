"""Membership and configuration exchange over streams between entry VMs."""
