"""Tests of resolving settings: order of precedence and errors."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from turmericpost_command.settings.declare import (
    Bounds,
    declared_settings,
    setting,
)
from turmericpost_command.settings.errors import SettingErrorKind
from turmericpost_command.settings.resolve import resolve


@dataclass(frozen=True)
class _Group:
    peer_port: int = setting('a port', bounds=Bounds(1, 9))
    region: str = setting('a region', default='cairo')
    log_debug: bool = setting('a switch', default=False)


_DECLARED = declared_settings(_Group)


class ResolveTest(unittest.TestCase):
    def test_flag_precedes_variable_which_precedes_default(self) -> None:
        resolved = resolve(
            _DECLARED,
            {'peer_port': '3'},
            {'TURMERICPOST_PEER_PORT': '4', 'TURMERICPOST_LOG_DEBUG': 'yes'},
        ).unwrap()
        self.assertEqual(
            resolved, {'peer_port': 3, 'region': 'cairo', 'log_debug': True}
        )

    def test_every_error_is_one_line_and_names_its_source(self) -> None:
        errors = resolve(
            _DECLARED,
            {'log_debug': 'perhaps'},
            {'TURMERICPOST_PEER_PORT': '12', 'TURMERICPOST_NOPE': ''},
        ).unwrap_err()
        self.assertEqual(
            {error.source: error.kind for error in errors},
            {
                'TURMERICPOST_NOPE': SettingErrorKind.UNKNOWN,
                'TURMERICPOST_PEER_PORT': SettingErrorKind.OUT_OF_BOUNDS,
                '--log-debug': SettingErrorKind.MALFORMED,
            },
        )
        for error in errors:
            self.assertEqual(len(str(error).splitlines()), 1)

    def test_absent_required_setting_is_missing(self) -> None:
        (error,) = resolve(_DECLARED, {}, {}).unwrap_err()
        self.assertIs(error.kind, SettingErrorKind.MISSING)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.text(max_size=12), st.text(max_size=12))
    def test_arbitrary_text_is_valid_or_a_typed_error(
        self,
        port: str,
        region: str,
    ) -> None:
        resolved = resolve(_DECLARED, {'peer_port': port, 'region': region}, {})
        if resolved.is_err():
            for error in resolved.unwrap_err():
                self.assertIn(
                    error.kind,
                    {
                        SettingErrorKind.MALFORMED,
                        SettingErrorKind.OUT_OF_BOUNDS,
                    },
                )


if __name__ == '__main__':
    unittest.main()
