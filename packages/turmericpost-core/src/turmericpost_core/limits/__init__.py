"""Limits on queueing, retries and the load of a backend server."""
