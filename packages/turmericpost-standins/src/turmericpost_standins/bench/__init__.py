"""Simulated-time benchmark of routing decisions against baseline policies."""
