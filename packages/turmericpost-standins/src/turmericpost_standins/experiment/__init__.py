"""Measurements of real processes on loopback; not part of the product."""
