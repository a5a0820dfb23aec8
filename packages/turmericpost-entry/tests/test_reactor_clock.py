"""Time source of the reactor and its timers."""

from __future__ import annotations

import time
import unittest
from collections.abc import Callable
from unittest.mock import patch

from twisted.internet import reactor
from twisted.internet.selectreactor import SelectReactor

from turmericpost.commands.demo import demo
from turmericpost.commands.serve import serve
from turmericpost.platform.process import main
from turmericpost.reactor_clock import ReactorClock, use_monotonic_time

_TOLERANCE_S = 60
_DELAY_S = 5


def seconds_since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class MonotonicReactorTest(unittest.TestCase):
    # Guards against timers and ages that follow steps of the wall clock: a
    # step back delayed every deadline, a step ahead renewed used-up rates.
    def test_time_and_timers_do_not_follow_the_wall_clock(self) -> None:
        fresh_reactor = SelectReactor()
        use_monotonic_time(fresh_reactor)
        timer = fresh_reactor.callLater(_DELAY_S, self.fail)
        due_s = seconds_since_boot() + _DELAY_S
        self.assertAlmostEqual(timer.getTime(), due_s, delta=_TOLERANCE_S)
        self.assertAlmostEqual(
            ReactorClock(fresh_reactor).monotonic_s(),
            seconds_since_boot(),
            delta=_TOLERANCE_S,
        )
        timer.cancel()

    def test_serve_uses_monotonic_time(self) -> None:
        self._check_program(lambda: serve({'caller_port': 'none'}))

    def test_demo_uses_monotonic_time(self) -> None:
        self._check_program(lambda: demo(deployment='none'))

    def test_program_on_the_platform_uses_monotonic_time(self) -> None:
        self._check_program(main)

    def _check_program(self, run: Callable[[], int]) -> None:
        with (
            patch.object(reactor, 'seconds', time.time),
            patch('sys.stderr'),
            patch('sys.stdout'),
        ):
            self.assertNotEqual(run(), 0)
            self.assertAlmostEqual(
                reactor.seconds(), seconds_since_boot(), delta=_TOLERANCE_S
            )
