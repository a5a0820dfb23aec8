"""``turmericpost serve``: run an entry VM process."""

from __future__ import annotations

import os
import sys

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from turmericpost.commands.process import GracefulShutdown
from turmericpost.commands.settings_command import EXIT_OK, report_errors
from turmericpost.node import EntryNode
from turmericpost.observe.events import LogEvent, log_event, open_log
from turmericpost.reactor_clock import use_monotonic_time
from turmericpost.settings_groups import Settings, resolve_settings
from turmericpost_command.settings.flags import FlagValues

EXIT_PORT_TAKEN = 1


def serve(flags: FlagValues) -> int:
    """Run an entry VM until a signal ends it and return the exit status."""
    use_monotonic_time(reactor)
    resolved = resolve_settings(flags, os.environ)
    if resolved.is_err():
        return report_errors(resolved.unwrap_err())
    settings = resolved.unwrap()
    open_log(debug=settings.logs.log_debug)
    return _run(settings)


def _run(settings: Settings) -> int:
    node = EntryNode(reactor, settings)
    log_event(LogEvent.PROCESS_STARTED, command='serve')
    try:
        node.start()
    except CannotListenError as error:
        sys.stderr.write(f'turmericpost: {error}\n')
        return EXIT_PORT_TAKEN
    shutdown = GracefulShutdown(reactor, node.stop)
    reactor.callWhenRunning(shutdown.install_signal_handlers)
    reactor.run(installSignalHandlers=False)
    return EXIT_OK
