"""Tests of the subcommands' exit statuses and output on a fake admin port."""

from __future__ import annotations

import contextlib
import io
import json
import threading
import unittest
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from turmericpost_ctl.commands import explain, history, plan, publish, status
from turmericpost_ctl.exit_status import ExitStatus

_STATUS = {
    'revision': 3,
    'failure_domains_out': ['cairo-a'],
    'entry_vms': [
        {
            'name': 'vm-1',
            'failure_domain': 'cairo-b',
            'state': 'live',
            'revision': 3,
        },
    ],
    'backend_servers': [],
}
_PLAN = {
    'departures': [
        {
            'failure_domain': 'cairo-a',
            'time_zone': 'Africa/Cairo',
            'leaves_local': '2026-12-05T10:00:00',
            'returns_local': '2026-12-05T12:00:00',
            'leaves_utc': '2026-12-05T08:00:00+00:00',
            'returns_utc': '2026-12-05T10:00:00+00:00',
            'rules': 'tzdata 2026.6',
        },
    ],
}


class _FakeAdminHandler(BaseHTTPRequestHandler):
    responses: dict[str, tuple[int, Any]] = {}

    def do_GET(self) -> None:  # noqa: N802
        self._send_response()

    def do_POST(self) -> None:  # noqa: N802
        self.rfile.read(int(self.headers['Content-Length']))
        self._send_response()

    def log_message(self, *_: Any) -> None:
        """Suppress the request log of the server."""

    def _send_response(self) -> None:
        code, body = self.responses[self.path.partition('?')[0]]
        encoded = json.dumps(body).encode()
        self.send_response(code)
        self.send_header('Content-Length', str(len(encoded)))
        self.end_headers()
        self.wfile.write(encoded)


class CommandsTest(unittest.TestCase):
    def setUp(self) -> None:
        server = HTTPServer(('127.0.0.1', 0), _FakeAdminHandler)
        self.addCleanup(server.server_close)
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        self.url = f'http://127.0.0.1:{server.server_port}'
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.document = Path(folder.name) / 'new.toml'
        self.document.write_text('', encoding='utf-8')
        _FakeAdminHandler.responses = {'/v1/status': (200, _STATUS)}

    def _publish(self, code: int, body: Any) -> int:
        _FakeAdminHandler.responses['/v1/changes'] = (code, body)
        with contextlib.redirect_stderr(io.StringIO()) as output:
            exit_code = publish(self.document, wait_s=0, admin_url=self.url)
        self.output = output.getvalue()
        return exit_code

    def test_publish_exit_status_follows_the_response(self) -> None:
        for code, body, expected in (
            (200, {'revision': 3}, ExitStatus.IN_FORCE),
            (200, {'revision': 4}, ExitStatus.UNCONFIRMED),
            (409, {'revision': 4}, ExitStatus.CONFLICT),
            (422, {'errors': ['limits: wrong']}, ExitStatus.USAGE),
            (503, {'detail': 'log down'}, ExitStatus.NOT_ACCEPTED),
            (504, {'change_id': 'x', 'detail': 'y'}, ExitStatus.UNCONFIRMED),
        ):
            with self.subTest(code=code, body=body):
                self.assertEqual(self._publish(code, body), expected.value)

    def test_unconfirmed_vms_are_named(self) -> None:
        self._publish(200, {'revision': 4})
        self.assertIn('not yet confirmed by vm-1', self.output)

    def test_unreachable_admin_port_is_not_accepted(self) -> None:
        with contextlib.redirect_stderr(io.StringIO()) as output:
            exit_code = publish(self.document, admin_url='http://127.0.0.1:1')
        self.assertEqual(exit_code, ExitStatus.NOT_ACCEPTED.value)
        self.assertIn('not accepted', output.getvalue())

    def test_missing_document_file_is_a_usage_error(self) -> None:
        with contextlib.redirect_stderr(io.StringIO()):
            exit_code = publish(Path('/nowhere.toml'), admin_url=self.url)
        self.assertEqual(exit_code, ExitStatus.USAGE.value)

    def test_views_are_printed(self) -> None:
        _FakeAdminHandler.responses['/v1/plan'] = (200, _PLAN)
        _FakeAdminHandler.responses['/v1/history'] = (200, {'changes': []})
        _FakeAdminHandler.responses['/v1/explain'] = (
            404,
            {'title': 'unknown service'},
        )
        with contextlib.redirect_stdout(io.StringIO()) as output:
            self.assertEqual(status(admin_url=self.url), 0)
            self.assertEqual(plan(admin_url=self.url), 0)
            self.assertEqual(history(admin_url=self.url), 0)
        for part in ('revision 3', 'cairo-a', '08:00:00+00:00', 'tzdata'):
            self.assertIn(part, output.getvalue())
        with contextlib.redirect_stderr(io.StringIO()) as error_output:
            explain_exit_code = explain(service='nope', admin_url=self.url)
        self.assertEqual(explain_exit_code, ExitStatus.USAGE.value)
        self.assertIn('unknown service', error_output.getvalue())

    def test_status_as_json_prints_the_view(self) -> None:
        with contextlib.redirect_stdout(io.StringIO()) as output:
            status(json=True, admin_url=self.url)
        self.assertEqual(json.loads(output.getvalue()), _STATUS)


if __name__ == '__main__':
    unittest.main()
