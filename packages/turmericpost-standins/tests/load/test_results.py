"""Results of a load run: nothing is claimed that was not measured."""

from __future__ import annotations

import unittest

from turmericpost_standins.load.results import (
    CallVerdict,
    PathResult,
    is_clean,
    report_lines,
)


def _path(name: str, latency_s: float, calls: int = 100) -> PathResult:
    path = PathResult(name)
    for _ in range(calls):
        path.record(CallVerdict.WHOLE, latency_s)
    return path


class ResultsTest(unittest.TestCase):
    def test_the_target_is_met_or_not_by_the_difference(self) -> None:
        direct = _path('direct', 0.001)
        for latency_s, word in ((0.0012, 'met'), (0.002, 'not met')):
            lines = report_lines(_path('through', latency_s), direct)
            self.assertTrue(lines[-1].endswith(f': {word}'))

    def test_without_answers_nothing_is_claimed(self) -> None:
        lines = report_lines(_path('through', 0, 0), _path('direct', 0.001))
        self.assertTrue(lines[-1].endswith('not measured'))

    def test_lost_mixed_and_broken_answers_are_not_clean(self) -> None:
        for verdict in (
            CallVerdict.LOST,
            CallVerdict.MIXED,
            CallVerdict.BROKEN,
        ):
            path = _path('through', 0.001)
            self.assertTrue(is_clean(path))
            path.record(verdict, 0)
            self.assertFalse(is_clean(path))


if __name__ == '__main__':
    unittest.main()
