"""Bounds on waiting, retrying and load at a backend server."""
