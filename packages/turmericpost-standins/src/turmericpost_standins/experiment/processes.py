"""Entry processes and stand-ins on loopback, for tests and experiments."""

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

from turmericpost_standins.platform import free_port

_PATIENCE_S = 30
_POLL_S = 0.05
_LOOPBACK = '127.0.0.1'


def wait_until(holds: Callable[[], bool]) -> bool:
    """Return whether a condition comes to hold; patient, for slow machines."""
    end_s = time.monotonic() + _PATIENCE_S
    while time.monotonic() < end_s:
        if holds():
            return True
        time.sleep(_POLL_S)
    return False


def read_json(url: str, body: Any = None) -> Any:
    """Return the decoded answer, also that of a refusal."""
    encoded = None if body is None else json.dumps(body).encode()
    try:
        with urlopen(Request(url, data=encoded), timeout=20) as answer:
            return json.load(answer)
    except HTTPError as refused:
        return json.load(refused)


class StandIns:
    """Stand-ins of a deployment in a process of their own."""

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
        self.places = json.loads(line)

    def control(self, path: str, body: Any = None) -> Any:
        """Read or change the stand-ins."""
        port = self.places['control_port']
        return read_json(f'http://{_LOOPBACK}:{port}{path}', body)

    def stop(self) -> None:
        """End the process."""
        end(self.process)


class EntryProcess:
    """One ``turmericpost serve`` process."""

    def __init__(self, places: dict[str, Any], domain: str) -> None:
        self.caller_port = free_port()
        self.admin_port = free_port()
        self.name = f'{_LOOPBACK}:{free_port()}'
        settings = {
            'CALLER_PORT': str(self.caller_port),
            'ADMIN_PORT': str(self.admin_port),
            'PEER_PORT': self.name.rpartition(':')[2],
            'FAILURE_DOMAIN': domain,
            'REGION': domain.rpartition('-')[0],
            'STORE_ADDRESS': places['store_address'],
            'VM_LIST_URL': places['vm_list_url'],
        }
        variables = {
            f'TURMERICPOST_{name}': one for name, one in settings.items()
        }
        self.process = subprocess.Popen(
            (sys.executable, '-m', 'turmericpost', 'serve'),
            env={**os.environ, **variables},
            stderr=subprocess.DEVNULL,
        )

    @property
    def pid(self) -> int:
        """Number of the process."""
        return self.process.pid

    def listed(self) -> dict[str, str]:
        """Return the entry of the VM list."""
        return {'address': self.name, 'failure_domain': 'cairo-a'}

    def admin(self, view: str, body: Any = None) -> Any:
        """Ask the admin port; ``None`` while it does not answer."""
        url = f'http://{_LOOPBACK}:{self.admin_port}/v1/{view}'
        try:
            return read_json(url, body)
        except OSError:
            return None

    def live_vms(self) -> set[str]:
        """Return the VMs that this one holds to be live."""
        status = self.admin('status') or {'entry_vms': ()}
        return {
            vm['name'] for vm in status['entry_vms'] if vm['state'] == 'live'
        }

    def revision(self) -> int:
        """Return the revision in force there."""
        return int((self.admin('status') or {'revision': 0})['revision'])

    def call(
        self,
        method: str = 'GET',
        body: bytes | None = None,
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one call on a connection of its own."""
        connection = HTTPConnection(_LOOPBACK, self.caller_port, timeout=20)
        fields = {'Host': 'catalogue', 'Turmericpost-Account': 'funeral-home'}
        fields |= {name.replace('_', '-'): one for name, one in headers.items()}
        with closing(connection):
            connection.request(method, '/item', body, fields)
            answer = connection.getresponse()
            received = answer.read()
        names = {name.lower(): text for name, text in answer.getheaders()}
        return answer.status, names, received

    def terminate(self) -> None:
        """Ask the process to leave."""
        self.process.send_signal(signal.SIGTERM)


def end(process: subprocess.Popen[Any]) -> None:
    """End a process this test started."""
    if process.stdout is not None:
        process.stdout.close()
    process.kill()
    process.wait()


class Cluster:
    """Stand-ins and some entry processes that know each other."""

    def __init__(self, size: int, deployment: str = 'egypt') -> None:
        self.stand_ins = StandIns(deployment)
        domains = ('cairo-a', 'cairo-b', 'alexandria-a')
        self.vms = [
            EntryProcess(self.stand_ins.places, domains[index % len(domains)])
            for index in range(size)
        ]
        self.stand_ins.control('/vms', [vm.listed() for vm in self.vms])

    def wait_ready(self) -> bool:
        """Wait until all agree on the view and have a revision."""
        names = {vm.name for vm in self.vms}
        return wait_until(
            lambda: all(
                vm.live_vms() == names and vm.revision() for vm in self.vms
            ),
        )

    def stop(self) -> None:
        """End every process."""
        for vm in self.vms:
            end(vm.process)
        self.stand_ins.stop()
