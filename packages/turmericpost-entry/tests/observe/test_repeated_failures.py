"""Exceptions that occur again and again are logged once a minute."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from twisted.internet.task import Clock
from twisted.python.failure import Failure

from turmericpost.observe import events
from turmericpost.observe.repeated_failures import (
    MAX_FAILURES,
    REPEAT_INTERVAL_S,
    RepeatedFailures,
)


class RepeatedFailuresTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.failures = RepeatedFailures(self.clock.seconds)

    def test_repeats_are_counted_until_the_next_line(self) -> None:
        recorded = [self.failures.record('one') for _ in range(5)]
        self.assertEqual(recorded, [0, None, None, None, None])
        self.assertEqual(self.failures.record('other'), 0)
        self.clock.advance(REPEAT_INTERVAL_S)
        self.assertEqual(self.failures.record('one'), 4)
        self.assertIsNone(self.failures.record('one'))

    def test_number_of_different_failures_is_bounded(self) -> None:
        logged = [
            self.failures.record(number) for number in range(MAX_FAILURES + 9)
        ]
        self.assertEqual(logged.count(0), MAX_FAILURES + 1)


class LoggedFailuresTest(unittest.TestCase):
    # Guards against tens of thousands of tracebacks of one fault, which hide
    # all other lines.
    def test_same_exception_is_logged_once(self) -> None:
        repeated = RepeatedFailures(Clock().seconds)
        with (
            patch.object(events, '_repeated_failures', repeated),
            patch.object(events, 'log_event') as logged,
        ):
            for number in range(100):
                _fail(number)
            _fail('other')
        self.assertEqual(logged.call_count, 2)


def _fail(number: object) -> None:
    try:
        chr(number) if number == 'other' else int(f'x{number}')
    except (TypeError, ValueError):
        events.log_failure(Failure())


if __name__ == '__main__':
    unittest.main()
