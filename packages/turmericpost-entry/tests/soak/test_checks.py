"""Tests that the checks of a soak can fail."""

from __future__ import annotations

import json
import unittest

from tests.soak.checks import check_configs


class CheckConfigsTest(unittest.TestCase):
    def test_older_configuration_in_one_process_is_found(self) -> None:
        found = list(check_configs('vm1', _log(3, None, 5, 4, 5)))
        self.assertEqual(len(found), 2)
        self.assertIn('vm1 went back from 5 to 4', found[1])

    def test_older_configuration_after_a_start_is_none(self) -> None:
        lines = [*_log(3, 5), *_log(4), 'Traceback', '7', '']
        self.assertEqual(list(check_configs('vm1', lines)), [])


def _log(*versions: int | None) -> list[str]:
    """Return the log of a process with these configurations."""
    names = ('process-started', *('knowledge-changed' for _ in versions))
    return [
        json.dumps({'name': name, 'config': version, 'at_utc': 'T'})
        for name, version in zip(names, (None, *versions), strict=True)
    ]


if __name__ == '__main__':
    unittest.main()
