"""Routing: eligible backend servers of a call, and the choice among them."""
