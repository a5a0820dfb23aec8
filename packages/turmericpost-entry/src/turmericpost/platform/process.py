"""The process of an entry VM on the platform, and its signals."""

from __future__ import annotations

import os
import signal
import sys

from twisted.internet import reactor

from turmericpost.commands.process import GracefulShutdown
from turmericpost.gateway.node import GatewayNode
from turmericpost.observe.bounded_output import open_buffered_log
from turmericpost.observe.events import LogEvent, log_event
from turmericpost.platform.call_headers import PlatformCallCodec
from turmericpost.platform.settings_file import (
    PATH_VARIABLE,
    read_settings_file,
)
from turmericpost.platform.store_client import StoreClient
from turmericpost.reactor_clock import use_monotonic_time

EXIT_USAGE = 2
EXIT_PORT_TAKEN = 1


def main() -> int:
    """Run the entry VM until a signal stops it, and return the exit status."""
    use_monotonic_time(reactor)
    path = os.environ.get(PATH_VARIABLE, '')
    read = read_settings_file(path)
    if read.is_err():
        sys.stderr.write(f'turmericpost: {read.unwrap_err()}\n')
        return EXIT_USAGE
    settings = read.unwrap()
    open_buffered_log(reactor, settings.name)
    log_event(LogEvent.PROCESS_STARTED, command='platform')
    store = StoreClient(reactor, settings.store)
    node = GatewayNode(reactor, settings, store, PlatformCallCodec())
    started = node.start()
    if started.is_err():
        sys.stderr.write(f'turmericpost: {started.unwrap_err()}\n')
        return EXIT_PORT_TAKEN
    _install_signals(node, path)
    reactor.run(installSignalHandlers=False)
    return 0


def _install_signals(node: GatewayNode, path: str) -> None:
    shutdown = GracefulShutdown(reactor, node.stop)
    reactor.callWhenRunning(shutdown.install_signal_handlers)
    signal.signal(
        signal.SIGHUP,
        lambda _number, _frame: reactor.callFromThread(_reload, node, path),
    )


def _reload(node: GatewayNode, path: str) -> None:
    read = read_settings_file(path)
    if read.is_err():
        detail = str(read.unwrap_err())
        log_event(LogEvent.SETTINGS_INVALID, detail=detail)
        return
    node.reload(read.unwrap())
    log_event(LogEvent.SETTINGS_RELOADED, path=path)
