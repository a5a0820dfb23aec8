"""Forwarding of calls from callers to backend servers."""
