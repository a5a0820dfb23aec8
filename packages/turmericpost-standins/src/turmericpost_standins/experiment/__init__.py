"""Experiments with processes on loopback; not part of the product."""
