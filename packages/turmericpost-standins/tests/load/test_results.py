"""Tests of the report on a load run.

The report must not judge the latency target without complete responses.
"""

from __future__ import annotations

import unittest

from turmericpost_standins.load.results import (
    CallVerdict,
    LoadResult,
    is_clean,
    report_lines,
)


def _load_result(name: str, latency_s: float, calls: int = 100) -> LoadResult:
    load_result = LoadResult(name)
    for _ in range(calls):
        load_result.record(CallVerdict.COMPLETE, latency_s)
    return load_result


class ResultsTest(unittest.TestCase):
    def test_target_is_judged_by_the_added_p99_latency(self) -> None:
        direct = _load_result('direct', 0.001)
        for latency_s, target_verdict in ((0.0012, 'met'), (0.002, 'not met')):
            lines = report_lines(_load_result('through', latency_s), direct)
            self.assertTrue(lines[-1].endswith(f': {target_verdict}'))

    def test_target_is_not_measured_without_complete_responses(self) -> None:
        lines = report_lines(
            _load_result('through', 0, 0), _load_result('direct', 0.001)
        )
        self.assertTrue(lines[-1].endswith('not measured'))

    def test_faulty_responses_are_not_clean(self) -> None:
        for verdict in (
            CallVerdict.LOST,
            CallVerdict.MISMATCHED,
            CallVerdict.INCOMPLETE,
        ):
            load_result = _load_result('through', 0.001)
            self.assertTrue(is_clean(load_result))
            load_result.record(verdict, 0)
            self.assertFalse(is_clean(load_result))


if __name__ == '__main__':
    unittest.main()
