"""Tests of the timeline of a backend server from the logs of several VMs."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from datetime import datetime, timedelta
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from turmericpost_ctl.commands import explain_server
from turmericpost_ctl.exit_status import ExitStatus
from turmericpost_ctl.log_lines import parse_utc
from turmericpost_ctl.server_rendering import server_lines
from turmericpost_ctl.server_timeline import (
    ServerTimeline,
    TimeSpan,
    read_server_timeline,
)

_SPAN = TimeSpan(
    datetime(2026, 12, 6, 10, 0, 0), datetime(2026, 12, 6, 10, 0, 5)
)


def event(seconds: float, vm: str, name: str, **fields: Any) -> dict[str, Any]:
    at = _SPAN.since_utc + timedelta(seconds=seconds)
    at_utc = at.isoformat(timespec='milliseconds')
    return {'at_utc': at_utc, 'vm': vm, 'name': name, **fields}


def cold_permit(
    seconds: float, vm: str, number: int, **fields: Any
) -> dict[str, Any]:
    defaults = {
        'backend': 'b1',
        'service': 'press',
        'domain': 'nasr',
        'permit': f'{vm}.5/{number}',
        'attempts_in_s': 1,
        'allowed_in_s': 1,
        'cold_per_s': 0,
        'share': 0,
        'leads': False,
    }
    return event(seconds, vm, 'cold-permit-granted', **{**defaults, **fields})


def call(
    seconds: float, vm: str, permit: str, backend: str = 'b1'
) -> dict[str, Any]:
    sent = {'ms': 300, 'step': 'sent', 'backend': backend, 'permit': permit}
    return event(
        seconds, vm, 'call-ended', call='id1', ms=1000, trail=[{}, sent]
    )


def brokering(seconds: float, vm: str, **fields: Any) -> dict[str, Any]:
    defaults = {'service': 'press', 'domain': 'nasr', 'why': 'others-silent'}
    return event(seconds, vm, 'brokering-changed', **{**defaults, **fields})


def read(*events: dict[str, Any]) -> ServerTimeline:
    lines = [json.dumps(one) for one in events]
    return read_server_timeline(lines, 'b1', _SPAN)


def text_of(timeline: ServerTimeline) -> str:
    return '\n'.join(server_lines(timeline, 'b1'))


class AttemptsTest(unittest.TestCase):
    def test_attempts_of_all_vms_are_counted_in_each_second(self) -> None:
        timeline = read(
            cold_permit(1.2, 'vm2', 1),
            cold_permit(1.1, 'vm1', 1),
            cold_permit(1.9, 'vm1', 2),
            cold_permit(2.05, 'vm3', 1),
            cold_permit(3.5, 'vm1', 3),
        )
        text = text_of(timeline)
        self.assertIn(
            '  2026-12-06T10:00:01 3, 3 while it may have been cold: '
            'vm1 2, vm2 1',
            text,
        )
        self.assertIn('  2026-12-06T10:00:02 1, 1 while', text)
        self.assertIn(
            'most within one second, from 2026-12-06T10:00:01.100: 4, 4 while',
            text,
        )

    def test_permit_and_call_of_one_attempt_count_once(self) -> None:
        timeline = read(cold_permit(1.1, 'vm1', 1), call(2.0, 'vm9', 'vm1.5/1'))
        (attempt,) = timeline.attempts
        self.assertEqual((attempt.broker, attempt.sender), ('vm1', 'vm9'))
        self.assertEqual(
            attempt.at_utc, datetime(2026, 12, 6, 10, 0, 1, 300000)
        )
        self.assertIsNotNone(attempt.grant)

    def test_attempt_at_a_warm_server_names_its_broker(self) -> None:
        timeline = read(call(2, 'vm9', 'vm1.5/1'), call(2, 'vm9', ''))
        self.assertEqual(
            {attempt.broker for attempt in timeline.attempts},
            {'vm1', 'unknown'},
        )
        self.assertIn('2, 0 while it may have been cold', text_of(timeline))

    def test_other_servers_and_times_are_left_out(self) -> None:
        timeline = read(
            cold_permit(1, 'vm1', 1, backend='b9'),
            cold_permit(9, 'vm1', 2),
            call(2, 'vm9', 'vm1.5/3', backend='b10'),
            call(9, 'vm9', 'vm1.5/4'),
        )
        self.assertEqual(timeline.attempts, [])
        self.assertIn('  none is known', text_of(timeline))

    def test_permits_are_listed_by_broker_and_terms(self) -> None:
        leading = {
            'leads': True,
            'share': 0.9,
            'cold_per_s': 2.7,
            'allowed_in_s': 2,
        }
        timeline = read(
            cold_permit(1.1, 'vm1', 1, **leading),
            cold_permit(1.2, 'vm1', 2, attempts_in_s=2, **leading),
            cold_permit(1.3, 'vm2', 1),
        )
        text = text_of(timeline)
        self.assertIn(
            '  vm1: leads=True share=0.9 cold_per_s=2.7 allowed_in_s=2 '
            'permits=2 most_in_s=2\n'
            '  vm2: leads=False share=0 cold_per_s=0 allowed_in_s=1 '
            'permits=1 most_in_s=1',
            text,
        )


class RelatedLinesTest(unittest.TestCase):
    def test_server_found_cold_and_its_state_are_shown(self) -> None:
        fields = {'backend': 'b1', 'service': 'press', 'domain': 'nasr'}
        found = event(2, 'vm1', 'server-found-cold', attempts=7, **fields)
        changed = event(2.1, 'vm1', 'backend-changed', backend='b1')
        timeline = read(found, changed, {**found, 'backend': 'b12'})
        self.assertEqual(timeline.found_cold, [found])
        self.assertEqual(timeline.changes, [changed])
        self.assertIn('server-found-cold attempts=7', text_of(timeline))

    def test_right_of_each_broker_is_shown_however_old(self) -> None:
        # The lines of 10:00:05.2 and 10:00:00.1 tell earlier changes.
        late = brokering(5.2, 'vm2', ago_s=0.4)
        just_before = brokering(0.1, 'vm1', ago_s=0.2, change='begun')
        older = {**just_before, 'at_utc': '2026-12-06T09:00:00.000'}
        timeline = read(
            older,
            just_before,
            late,
            brokering(6, 'vm2'),
            brokering(1, 'vm2', domain='giza'),
            brokering(1, 'vm3'),
            cold_permit(1, 'vm1', 1),
            cold_permit(1, 'vm2', 1),
        )
        self.assertEqual(timeline.brokering, [just_before, late])
        self.assertIn('why=others-silent', text_of(timeline))

    def test_lines_left_out_are_shown(self) -> None:
        left_out = event(1, 'vm1', 'lines-left-out', lines=3, of='cold-permits')
        of_all = event(2, 'vm1', 'lines-left-out', lines=3)
        timeline = read(left_out, of_all, {**left_out, 'of': 'probes'})
        self.assertEqual(timeline.left_out, [left_out, of_all])

    def test_undecodable_lines_about_the_server_are_counted(self) -> None:
        lines = ['{"backend": "b1"', 'nonsense', '', '{"at_utc": 3, "b1": 1}']
        timeline = read_server_timeline(lines, 'b1', _SPAN)
        self.assertEqual(timeline.unreadable_lines, 1)
        self.assertIn('1 lines could not be decoded', text_of(timeline))


class ExplainServerTest(unittest.TestCase):
    def test_logs_of_several_vms_are_read(self) -> None:
        with TemporaryDirectory() as directory:
            paths = [Path(directory) / name for name in ('vm1', 'vm2')]
            for path in paths:
                line = json.dumps(cold_permit(1, path.name, 1))
                path.write_text(f'prefix {line}\n', encoding='utf-8')
            status, output, _ = self._run(*paths)
        self.assertEqual(status, ExitStatus.IN_FORCE.value)
        self.assertIn('2, 2 while it may have been cold: vm1 1, vm2 1', output)

    def test_missing_file_and_invalid_time_are_wrong_usage(self) -> None:
        status, _, errors = self._run(Path('/nonexistent/log'))
        self.assertEqual(status, ExitStatus.USAGE.value)
        self.assertIn('/nonexistent/log: No such file', errors)
        status, _, errors = self._run(since='yesterday')
        self.assertEqual(status, ExitStatus.USAGE.value)
        self.assertIn('ISO 8601', errors)

    def test_time_with_an_offset_is_converted(self) -> None:
        self.assertEqual(
            parse_utc('2026-12-06T12:00:01+02:00'),
            datetime(2026, 12, 6, 10, 0, 1),
        )
        self.assertEqual(
            parse_utc('2026-12-06T10:00:01Z'), datetime(2026, 12, 6, 10, 0, 1)
        )

    def _run(
        self, *paths: Path, since: str = '2026-12-06T10:00:00'
    ) -> tuple[int, str, str]:
        output, errors = io.StringIO(), io.StringIO()
        with (
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(errors),
        ):
            status = explain_server(
                'b1', *paths, since=since, until='2026-12-06T10:00:05'
            )
        return status, output.getvalue(), errors.getvalue()
