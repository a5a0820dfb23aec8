"""Background loops after unexpected exceptions."""

from __future__ import annotations

import unittest
from unittest.mock import Mock

from twisted.internet.task import Clock, deferLater

from turmericpost.background import (
    RESTART_PAUSE_S,
    start_loop,
    start_periodic,
)

_INTERVAL_S = 1


# Guards against one unexpected exception that ends heartbeats, reads of the
# store or checks for good, while the process seems to run.
class BackgroundTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor = Clock()
        self.step = Mock(side_effect=[None, RuntimeError('test'), None, None])

    def test_loop_is_run_again_after_an_exception(self) -> None:
        async def loop() -> None:
            while True:
                self.step()
                await deferLater(self.reactor, _INTERVAL_S)

        start_loop(self.reactor, loop)
        self.reactor.pump([_INTERVAL_S, RESTART_PAUSE_S, _INTERVAL_S])
        self.assertEqual(self.step.call_count, 4)

    def test_loop_that_returns_is_not_run_again(self) -> None:
        async def loop() -> None:
            self.step()

        start_loop(self.reactor, loop)
        self.reactor.advance(RESTART_PAUSE_S)
        self.assertEqual(self.step.call_count, 1)

    def test_periodic_call_goes_on_after_an_exception(self) -> None:
        start_periodic(self.reactor, _INTERVAL_S, self.step)
        self.reactor.pump([_INTERVAL_S] * 3)
        self.assertEqual(self.step.call_count, 4)
