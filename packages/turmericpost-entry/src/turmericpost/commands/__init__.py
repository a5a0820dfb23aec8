"""Subcommands of the ``turmericpost`` command."""
