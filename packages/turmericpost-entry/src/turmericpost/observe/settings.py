"""Settings of the log output."""

from __future__ import annotations

from dataclasses import dataclass

from turmericpost_command.settings.declare import setting


@dataclass(frozen=True)
class LogSettings:
    """Levels of the log events that are written."""

    log_debug: bool = setting('log debugging events too', default=False)
