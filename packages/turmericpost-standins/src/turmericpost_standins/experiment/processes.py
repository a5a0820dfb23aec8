"""Runs entry processes and stand-ins on loopback for tests and measurements."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from contextlib import closing
from http.client import HTTPConnection
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from turmericpost_standins.platform import ReservedPort

_WAIT_TIMEOUT_S = 30
_POLL_INTERVAL_S = 0.05
_LOOPBACK = '127.0.0.1'


def wait_until(condition: Callable[[], bool]) -> bool:
    """Poll until a condition is true; return ``False`` after a timeout.

    The timeout is long so that slow machines pass.
    """
    deadline_s = time.monotonic() + _WAIT_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if condition():
            return True
        time.sleep(_POLL_INTERVAL_S)
    return False


def read_json(url: str, body: Any = None) -> Any:
    """Request a URL; return the decoded JSON response, even of an HTTP error.

    Sends ``body`` as JSON with POST if it is not ``None``.
    """
    encoded = None if body is None else json.dumps(body).encode()
    try:
        with urlopen(Request(url, data=encoded), timeout=20) as response:
            return json.load(response)
    except HTTPError as error_response:
        return json.load(error_response)


class StandIns:
    """Process that runs the stand-ins of a deployment for up to 120 seconds.

    The stand-ins are the store, the VM list and the backend servers.
    ``endpoints`` holds their addresses and ports.
    """

    def __init__(self, deployment: str = 'egypt') -> None:
        self.process = subprocess.Popen(
            (
                sys.executable,
                '-m',
                'turmericpost_standins',
                'stand-ins',
                '--deployment',
                deployment,
                '--duration-s',
                '120',
            ),
            stdout=subprocess.PIPE,
            text=True,
        )
        line = self.process.stdout.readline() if self.process.stdout else ''
        self.endpoints = json.loads(line)

    def control(self, path: str, body: Any = None) -> Any:
        """Send a request to the control port; return the JSON response.

        Sends ``body`` as JSON with POST, to change the state of the stand-ins,
        if it is not ``None``.
        """
        port = self.endpoints['control_port']
        return read_json(f'http://{_LOOPBACK}:{port}{path}', body)

    def stop(self) -> None:
        """Kill the process."""
        kill_process(self.process)


class EntryProcess:
    """A ``turmericpost serve`` process on loopback ports."""

    def __init__(self, endpoints: dict[str, Any], domain: str) -> None:
        self._reserved_ports = [ReservedPort() for _ in range(3)]
        caller_port, admin_port, peer_port = (
            reserved.number for reserved in self._reserved_ports
        )
        self.caller_port = caller_port
        self.admin_port = admin_port
        self.name = f'{_LOOPBACK}:{peer_port}'
        settings = {
            'CALLER_PORT': str(self.caller_port),
            'ADMIN_PORT': str(self.admin_port),
            'PEER_PORT': str(peer_port),
            'FAILURE_DOMAIN': domain,
            'REGION': domain.rpartition('-')[0],
            'STORE_ADDRESS': endpoints['store_address'],
            'VM_LIST_URL': endpoints['vm_list_url'],
        }
        environment = {
            f'TURMERICPOST_{name}': text for name, text in settings.items()
        }
        self.process = subprocess.Popen(
            (sys.executable, '-m', 'turmericpost', 'serve'),
            env={**os.environ, **environment},
            stderr=subprocess.DEVNULL,
        )

    @property
    def pid(self) -> int:
        """Id of the operating system process."""
        return self.process.pid

    def vm_list_entry(self) -> dict[str, str]:
        """Return the entry of this VM for the VM list.

        The entry always names the failure domain ``cairo-a``.
        """
        return {'address': self.name, 'failure_domain': 'cairo-a'}

    def admin(self, resource: str, body: Any = None) -> Any:
        """Request a resource of the admin port; return its JSON response.

        Returns ``None`` if the port doesn't respond.
        """
        url = f'http://{_LOOPBACK}:{self.admin_port}/v1/{resource}'
        try:
            return read_json(url, body)
        except OSError:
            return None

    def live_vms(self) -> set[str]:
        """Return the names of the VMs that are live in this VM's view."""
        status = self.admin('status') or {'entry_vms': ()}
        return {
            vm['name'] for vm in status['entry_vms'] if vm['state'] == 'live'
        }

    def revision(self) -> int:
        """Return the configuration revision in force on this VM, or 0."""
        return int((self.admin('status') or {'revision': 0})['revision'])

    def call(
        self,
        method: str = 'GET',
        body: bytes | None = None,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a call on a new connection.

        Keyword arguments are further headers, with ``_`` in place of ``-``.
        Returns the status, the headers with lower-case names, and the body.
        """
        connection = HTTPConnection(_LOOPBACK, self.caller_port, timeout=20)
        request_headers = {
            'Host': 'catalogue',
            'Turmericpost-Account': 'funeral-home',
        }
        request_headers |= {
            name.replace('_', '-'): header_text
            for name, header_text in headers.items()
        }
        with closing(connection):
            connection.request(method, '/item', body, request_headers)
            response = connection.getresponse()
            response_body = response.read()
        response_headers = {
            name.lower(): text for name, text in response.getheaders()
        }
        return response.status, response_headers, response_body

    def stop(self) -> None:
        """Kill the process and release its ports."""
        kill_process(self.process)
        for reserved in self._reserved_ports:
            reserved.release()

    def terminate(self) -> None:
        """Send SIGTERM, on which the process drains and exits."""
        self.process.send_signal(signal.SIGTERM)


def kill_process(process: subprocess.Popen[Any]) -> None:
    """Kill a process and wait until it has ended."""
    if process.stdout is not None:
        process.stdout.close()
    process.kill()
    process.wait()


class Cluster:
    """Stand-ins and entry processes that find each other by the VM list."""

    def __init__(self, size: int, deployment: str = 'egypt') -> None:
        self.stand_ins = StandIns(deployment)
        domains = ('cairo-a', 'cairo-b', 'alexandria-a')
        self.vms = [
            EntryProcess(
                self.stand_ins.endpoints, domains[index % len(domains)]
            )
            for index in range(size)
        ]
        self.stand_ins.control('/vms', [vm.vm_list_entry() for vm in self.vms])

    def wait_ready(self) -> bool:
        """Wait until every VM sees all VMs live and has a configuration.

        Returns ``False`` if this takes too long.
        """
        names = {vm.name for vm in self.vms}
        return wait_until(
            lambda: all(
                vm.live_vms() == names and vm.revision() for vm in self.vms
            ),
        )

    def stop(self) -> None:
        """Kill every process, the stand-ins included."""
        for vm in self.vms:
            vm.stop()
        self.stand_ins.stop()
