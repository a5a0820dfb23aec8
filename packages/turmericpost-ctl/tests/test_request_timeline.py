"""Tests of building the timeline of a request from log lines."""

from __future__ import annotations

import json
import unittest

from turmericpost_ctl.request_timeline import read_timeline, timeline_lines

_CALL_EVENT = {
    'at_utc': '2026-12-04T10:00:02.000',
    'vm': 'vm1',
    'name': 'call-failed',
    'call': 'abc',
    'status': 504,
    'reason': 'deadline-exceeded',
    'service': 'press',
    'ms': 1500,
    'trail': [
        {'ms': 3, 'step': 'permit', 'backend': 'b1', 'slowness': 400},
        {'ms': 4, 'step': 'sent', 'backend': 'b1'},
    ],
}
_BACKEND_CHANGED_EVENT = {
    'at_utc': '2026-12-04T10:00:01.000',
    'vm': 'vm2',
    'name': 'backend-changed',
    'backend': 'b1',
    'was': 'warm',
    'standing': 'failing',
}
_KNOWLEDGE_CHANGED_EVENT = {
    'at_utc': '2026-12-04T10:00:01.500',
    'vm': 'vm1',
    'name': 'knowledge-changed',
    'source': 'operator',
    'config': 5,
    'store_era': 2,
    'operator_offset': 2,
    'backends_era': 2,
    'backends_version': [10, 0],
    'lost': ['b1'],
    'held_config': 5,
}


class RequestTimelineTest(unittest.TestCase):
    def test_timeline_has_the_call_and_only_related_changes(self) -> None:
        lines = [
            json.dumps(_CALL_EVENT),
            f'  1.0 vm2 {json.dumps(_BACKEND_CHANGED_EVENT)}',
            json.dumps({**_BACKEND_CHANGED_EVENT, 'backend': 'b9'}),
            json.dumps({**_CALL_EVENT, 'call': 'other'}),
            'nonsense',
            '',
        ]
        timeline = read_timeline(lines, 'abc')
        text = '\n'.join(timeline_lines(timeline, 'abc'))
        self.assertEqual(len(timeline.calls), 1)
        self.assertEqual(len(timeline.changes), 1)
        self.assertEqual(timeline.unreadable_lines, 1)
        self.assertIn('slowness=400', text)
        self.assertIn('deadline-exceeded', text)
        self.assertIn('standing=failing', text)

    # Guards against a refusal whose cause, state that the VM lacked for long,
    # cannot be found from the id of the request.
    def test_timeline_tells_since_when_the_vm_was_behind(self) -> None:
        behind = {
            'at_utc': '2026-12-04T09:00:00.000',
            'vm': 'vm1',
            'name': 'state-behind',
            'part': 'operator',
            'failures': {'fetch incomplete': 7},
        }
        caught_up = {
            **behind,
            'name': 'state-caught-up',
            'part': 'registry',
        }
        lines = [
            json.dumps(event)
            for event in (
                {**behind, 'vm': 'vm2'},
                {**behind, 'part': 'registry'},
                {**caught_up, 'at_utc': '2026-12-04T09:00:01.000'},
                behind,
                _CALL_EVENT,
            )
        ]
        timeline = read_timeline(lines, 'abc')
        self.assertEqual(timeline.changes, [behind])

    # Guards against a timeline that doesn't tell in which era of the store the
    # VM decided, and that it held a configuration which the store had lost.
    def test_timeline_tells_the_era_and_the_held_configuration(self) -> None:
        call = {**_CALL_EVENT, 'config': 5, 'backends': [10, 3]}
        lines = [json.dumps(_KNOWLEDGE_CHANGED_EVENT), json.dumps(call)]
        text = '\n'.join(timeline_lines(read_timeline(lines, 'abc'), 'abc'))
        self.assertIn('  backends: [10, 3]', text)
        self.assertIn('store_era=2 operator_offset=2 backends_era=2', text)
        self.assertIn('held_config=5', text)

    def test_unknown_request_has_an_empty_timeline(self) -> None:
        timeline = read_timeline([json.dumps(_CALL_EVENT)], 'zzz')
        self.assertEqual(timeline.calls, [])
        self.assertEqual(timeline.changes, [])
