"""Command line and checked settings of the turmericpost binaries."""
