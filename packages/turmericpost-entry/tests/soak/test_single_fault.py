"""Days by processes on which one way of passing on state is broken for good."""

from __future__ import annotations

import unittest
from collections.abc import Iterator

from tests.soak.single_fault import Day, Findings, play

_OK = 200
_REFUSED_AS_WRONG = 404
_MIN_SERVED_SHARE = 0.95
_MAX_FAILURE_LINES = 100
_FAILURE_LINES = (
    'no-event',
    'state-behind',
    'state-caught-up',
    'unexpected-failure',
    'update-failed',
)
_LENGTH_S = 7.0
_DAYS = (
    Day('encoder', 'all', length_s=_LENGTH_S),
    Day('refused', 'all', length_s=_LENGTH_S, seed=2),
    Day('garbled', 'readers', length_s=_LENGTH_S, seed=3),
    Day('silent', 'all', length_s=_LENGTH_S, seed=4),
)


class SingleFaultTest(unittest.TestCase):
    # Guards against VMs that refuse added routes with 404 for as long as the
    # one way broken is the one on which they get newer state.
    def test_added_routes_are_served_while_one_way_is_broken(self) -> None:
        for day in _DAYS:
            with self.subTest(day):
                self.assertEqual(list(_violations(play(day))), [])


def _violations(findings: Findings) -> Iterator[str]:
    """Yield what callers and readers of logs should not see."""
    calls = findings.total.total()
    served = findings.total[_OK]
    if findings.total[_REFUSED_AS_WRONG]:
        yield f'{findings.total[_REFUSED_AS_WRONG]} of {calls} got 404'
    if not served or served < _MIN_SERVED_SHARE * calls:
        yield f'{served} of {calls} were served'
    lines = sum(findings.log_names[name] for name in _FAILURE_LINES)
    if lines > _MAX_FAILURE_LINES:
        yield f'{lines} log lines about one fault'


if __name__ == '__main__':
    unittest.main()
