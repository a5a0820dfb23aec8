"""Entry point of the ``turmericpost`` command line program."""

from __future__ import annotations

import sys

from turmericpost.commands.demo import demo
from turmericpost.commands.serve import serve
from turmericpost.commands.settings_command import check_settings
from turmericpost.settings_groups import all_settings
from turmericpost_command.command_line import run_command
from turmericpost_command.settings.flags import command_with_flags


def run() -> None:
    """Run the subcommand given on the command line."""
    declared = all_settings()
    functions = {
        'serve': command_with_flags(
            'serve',
            'Run an entry VM process.',
            declared,
            serve,
        ),
        'check-settings': command_with_flags(
            'check_settings',
            'Print the resolved settings.',
            declared,
            check_settings,
        ),
        'demo': demo,
    }
    sys.exit(run_command('turmericpost', functions, sys.argv[1:]))
