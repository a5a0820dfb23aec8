"""``turmericpost check-settings`` and reports of invalid settings."""

from __future__ import annotations

import json
import os
import sys
from dataclasses import asdict

from turmericpost.settings_groups import resolve_settings
from turmericpost_command.settings.errors import SettingError
from turmericpost_command.settings.flags import FlagValues

EXIT_OK = 0
EXIT_USAGE = 2


def check_settings(flags: FlagValues) -> int:
    """Print the resolved settings, or one line for each error."""
    resolved = resolve_settings(flags, os.environ)
    if resolved.is_err():
        return report_errors(resolved.unwrap_err())
    sys.stdout.write(json.dumps(asdict(resolved.unwrap()), indent=2))
    sys.stdout.write('\n')
    return EXIT_OK


def report_errors(errors: tuple[SettingError, ...]) -> int:
    """Print one line for each error and return the exit status."""
    for error in errors:
        sys.stderr.write(f'turmericpost: {error}\n')
    return EXIT_USAGE
