"""Streams between entry VMs."""
