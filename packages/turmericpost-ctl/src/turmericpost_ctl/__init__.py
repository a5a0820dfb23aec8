"""Operator command of turmericpost."""
