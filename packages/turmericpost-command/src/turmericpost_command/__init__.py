"""Command line and settings of the turmericpost commands."""
