"""Entry point of the ``turmericpostctl`` command."""

from __future__ import annotations

import sys

from turmericpost_command.command_line import run_command
from turmericpost_ctl.commands import (
    explain,
    explain_request,
    explain_server,
    history,
    plan,
    publish,
    show,
    status,
)

_FUNCTIONS = (
    publish,
    show,
    status,
    history,
    explain,
    explain_request,
    explain_server,
    plan,
)


def run() -> None:
    """Run the subcommand given on the command line."""
    functions = {
        function.__name__.replace('_', '-'): function for function in _FUNCTIONS
    }
    sys.exit(run_command('turmericpostctl', functions, sys.argv[1:]))
