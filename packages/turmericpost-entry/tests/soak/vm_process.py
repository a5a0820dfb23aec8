"""Entry VMs as operating system processes, which a soak stops and pauses."""

from __future__ import annotations

import ctypes
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Any

from tests.gateway.fleet_harness import DOMAINS

GRACE_S = 6
CHECK_INTERVAL_S = 0.05
PORTS = {'Front': 18548, 'Ready': 18542, 'Control': 18544, 'Directory': 18546}
INTERNAL_PORT = 18540
_RESTART_PAUSE_S = 0.3
_PARENT_DEATH_SIGNAL_OPTION = 1
_KB_PER_MB = 1024
_LISTEN_STATE = '0A'
_NO_INODE = '0'
_LIBC = ctypes.CDLL(None)
_NO_VARIABLES: Mapping[str, str] = MappingProxyType({})
_NO_LIMITS: Mapping[str, int] = MappingProxyType({})


@dataclass(frozen=True)
class VmSettings:
    """What differs between the VMs of a soak."""

    name: str
    host: str
    failure_domain: str
    region: str
    seed_host: str
    store_port: int
    domain_regions: Mapping[str, str] = field(default_factory=lambda: DOMAINS)
    limits: Mapping[str, int] = field(default_factory=lambda: _NO_LIMITS)

    def text(self) -> str:
        """Return the settings file."""
        listen = [
            f'Listen.{use}={self.host}:{port}' for use, port in PORTS.items()
        ]
        seed_port = PORTS['Control']
        zones = [
            f'Zones.{domain}={region}'
            for domain, region in self.domain_regions.items()
        ]
        limits = [
            f'Limits.{name}={limit}' for name, limit in self.limits.items()
        ]
        return '\n'.join(
            (
                f'NodeName={self.name}',
                f'Ip={self.host}',
                f'Zone={self.failure_domain}',
                f'Region={self.region}',
                *zones,
                *listen,
                *limits,
                f'InternalPortRange={INTERNAL_PORT},18541',
                f'Seeds={self.seed_host}:{seed_port}',
                f'Platform.Address=127.0.0.1:{self.store_port}',
                'Bounds.DrainMs=2000',
                f'Bounds.GraceS={GRACE_S}',
                'Bounds.ConfigMs=2000',
                'Bounds.ttl_max_s=5',
                'Bounds.RetryBudgetRatio=0.2',
                'Bounds.RetryBudgetSlack=64',
                'Bounds.BudgetWindowS=10',
                '',
            )
        )


class VmProcess:
    """An entry VM that is started again whenever it has ended.

    The process runs ``module`` with ``variables`` in its environment.
    ``killed_s`` and ``paused_s`` list the times of kills and of the ends of
    pauses. ``faults`` describes what a process did that it should not.
    """

    def __init__(
        self,
        reactor: Any,
        settings: VmSettings,
        folder: Path,
        *,
        module: str = 'turmericpost.platform',
        variables: Mapping[str, str] = _NO_VARIABLES,
    ) -> None:
        self.settings = settings
        self.killed_s: list[float] = []
        self.paused_s: list[float] = []
        self.starts_s: list[float] = []
        self.stops_s: list[float] = []
        self.stop_begun_s: float | None = None
        self.is_paused = False
        self.faults: list[str] = []
        self._reactor = reactor
        self._module = module
        self._variables = variables
        self._expects_exit = False
        self._log_start_bytes = 0
        self._settings_path = folder / f'{settings.name}.conf'
        self._log_path = folder / f'{settings.name}.log'
        self._process: subprocess.Popen[bytes] | None = None
        self._settings_path.write_text(settings.text(), encoding='utf-8')

    @property
    def caller_address(self) -> tuple[str, int]:
        """Address and port that callers connect to."""
        return self.settings.host, PORTS['Front']

    @property
    def is_running(self) -> bool:
        """Whether there is a process, also a stopping or paused one."""
        return self._process is not None

    @property
    def pid(self) -> int:
        """Id of the current process."""
        assert self._process is not None
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Whether the current process has ended."""
        return self._process is None or self._process.poll() is not None

    @property
    def descriptor_count(self) -> int:
        """Number of open descriptors of the current process."""
        return len(os.listdir(f'/proc/{self.pid}/fd'))

    @property
    def unread_mb(self) -> float:
        """Size of the bytes received on its address that it has not read."""
        queues = (fields[4] for fields in self._connections())
        unread_bytes = sum(int(queue.partition(':')[2], 16) for queue in queues)
        return unread_bytes / _KB_PER_MB / _KB_PER_MB

    @property
    def peak_memory_mb(self) -> float:
        """Largest resident size of the current process so far."""
        path = Path('/proc', str(self.pid), 'status')
        for line in path.read_text(encoding='ascii').splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) / _KB_PER_MB
        raise LookupError(path)

    def connection_count(self, port: int) -> int:
        """Return how many connections to a port the process holds open."""
        suffix = format(port, '04X')
        return sum(
            fields[1].rpartition(':')[2] == suffix and fields[9] != _NO_INODE
            for fields in self._connections()
        )

    def is_settled(self, since_s: float) -> bool:
        """Return whether the process has run without a fault since a time."""
        if not self.is_running or self.is_paused or self.stop_begun_s:
            return False
        return max((*self.starts_s, *self.paused_s)) < since_s

    def was_disturbed(self, since_s: float, until_s: float) -> bool:
        """Return whether the process was started or paused in some time."""
        events_s = (*self.starts_s, *self.killed_s, *self.paused_s)
        return self.is_paused or any(
            since_s <= event_s <= until_s for event_s in events_s
        )

    def history(self) -> dict[str, list[str]]:
        """Return the times of starts, stops, kills and ends of pauses."""
        events = {
            'starts': self.starts_s,
            'stops': self.stops_s,
            'kills': self.killed_s,
            'pauses': self.paused_s,
        }
        return {
            name: [f'{time_s:.3f}' for time_s in times_s]
            for name, times_s in events.items()
        }

    def log_lines(self) -> list[str]:
        """Return what all its processes have logged."""
        return self._log_path.read_text(encoding='utf-8').splitlines()

    def start(self) -> None:
        """Start the process; its log is appended to that of earlier ones."""
        self.starts_s.append(self._reactor.seconds())
        self.stop_begun_s = None
        self._expects_exit = False
        environment = {
            **os.environ,
            **self._variables,
            'TURMERICPOST_BOOT': str(self._settings_path),
        }
        self._log_path.touch()
        self._log_start_bytes = self._log_path.stat().st_size
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                (sys.executable, '-m', self._module),
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    def terminate(self) -> None:
        """Begin a planned stop."""
        if self._process is not None and self.stop_begun_s is None:
            self.stop_begun_s = self._reactor.seconds()
            self.stops_s.append(self.stop_begun_s)
            self._expects_exit = True
            self._process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process without notice."""
        if self._process is not None:
            self.killed_s.append(self._reactor.seconds())
            self._expects_exit = True
            self._process.kill()

    def reload(self) -> None:
        """Let the process read its settings again.

        A process that has written no line yet may still be an interpreter that
        ends on this signal.
        """
        has_begun = self._log_path.stat().st_size > self._log_start_bytes
        if self._process is not None and has_begun:
            self._process.send_signal(signal.SIGHUP)

    def pause(self, pause_s: float) -> None:
        """Stop the process from running for a while."""
        process = self._process
        if process is None or self.is_paused:
            return
        self.is_paused = True
        process.send_signal(signal.SIGSTOP)
        self._reactor.callLater(pause_s, self._resume, process)

    def check(self) -> None:
        """Notice the end of the process, and start the next one."""
        if self._process is None:
            return
        now_s = self._reactor.seconds()
        status = self._process.poll()
        if status is None:
            self._check_stop_time(now_s)
            return
        if not self._expects_exit:
            self._add_fault(f'ended with {status}')
        self._process = None
        self._reactor.callLater(_RESTART_PAUSE_S, self.start)

    def close(self) -> None:
        """End the process for good."""
        process = self._process
        self._process = None
        if process is not None:
            process.kill()
            process.wait()

    def _connections(self) -> Iterator[list[str]]:
        """Yield the fields of each connection to the address of the VM."""
        packed = socket.inet_aton(self.settings.host)
        address = int.from_bytes(packed, sys.byteorder)
        host = format(address, '08X')
        for line in Path('/proc/net/tcp').read_text('ascii').splitlines()[1:]:
            fields = line.split()
            is_open = fields[3] != _LISTEN_STATE
            if is_open and fields[1].startswith(host):
                yield fields

    def _resume(self, process: subprocess.Popen[bytes]) -> None:
        self.is_paused = False
        self.paused_s.append(self._reactor.seconds())
        process.send_signal(signal.SIGCONT)

    def _check_stop_time(self, now_s: float) -> None:
        """Kill a process that outlasts its grace time, as the platform does."""
        if self.stop_begun_s is None or now_s - self.stop_begun_s < GRACE_S:
            return
        was_paused = any(
            paused_s > self.stop_begun_s for paused_s in self.paused_s
        )
        if not (was_paused or self.is_paused):
            self._add_fault('outlasted its grace time')
        self.kill()

    def _add_fault(self, what: str) -> None:
        self.faults.append(' '.join((self.settings.name, what)))


def _end_with_parent() -> None:
    """Let the system kill this process when the soak ends for any reason."""
    _LIBC.prctl(_PARENT_DEATH_SIGNAL_OPTION, signal.SIGKILL)
