"""Background loops that go on after an unexpected exception."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure

from turmericpost.observe.events import log_failure

RESTART_PAUSE_S = 0.25
"""Pause before a loop that failed is run again: less than the silence after
which other VMs take this one for lost."""


def start_loop(reactor: Any, loop: Callable[[], Awaitable[None]]) -> None:
    """Run a loop until it returns; log an exception and run it again."""
    Deferred.fromCoroutine(_run_until_end(reactor, loop)).addErrback(
        log_failure
    )


def start_periodic(
    reactor: Any, interval_s: float, callback: Callable[[], object]
) -> LoopingCall:
    """Call a function periodically, also after it has raised an exception.

    Exceptions are logged.
    """
    periodic = LoopingCall(run_logged, callback)
    periodic.clock = reactor
    periodic.start(interval_s).addErrback(log_failure)
    return periodic


def run_logged(callback: Callable[[], object]) -> None:
    """Call a function, and log the exception if it raises one."""
    try:
        callback()
    except Exception:
        log_failure(Failure())


async def await_logged(awaitable: Awaitable[object]) -> None:
    """Wait for an awaitable, and log the exception if it raises one."""
    try:
        await awaitable
    except Exception:
        log_failure(Failure())


async def _run_until_end(
    reactor: Any, loop: Callable[[], Awaitable[None]]
) -> None:
    while True:
        try:
            return await loop()
        except Exception:
            log_failure(Failure())
        await deferLater(reactor, RESTART_PAUSE_S)
