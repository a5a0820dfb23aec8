"""Measure one entry process: added latency, processor time, memory, bytes."""

from __future__ import annotations

import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import closing, contextmanager
from typing import Any

from turmericpost_standins.experiment.process_cost import process_cost
from turmericpost_standins.experiment.processes import (
    Cluster,
    EntryProcess,
    end,
    wait_until,
)
from turmericpost_standins.platform import free_port

_LOOPBACK = '127.0.0.1'
_RATES_PER_S = (100, 200, 400)
_CLUSTER_SIZES = (3, 6, 12)
_CONNECTIONS = (0, 250, 500)
_LOAD_S = 8
_IDLE_S = 8
_SETTLE_S = 12
_US_PER_S = 1_000_000


def measure_calls() -> Iterator[str]:
    """Yield latency and processor time for each rate, beside the baseline."""
    with running_cluster(1) as cluster:
        vm = cluster.vms[0]
        port = cluster.stand_ins.places['backends']['catalogue'][-1]
        with _baseline(port) as baseline:
            for rate in _RATES_PER_S:
                yield f'-- {rate} calls/s, service time 0'
                yield from _one_load(vm, vm.pid, vm.caller_port, rate)
                yield f'-- {rate} calls/s through the twisted.web baseline'
                pid, baseline_port = baseline
                yield from _one_load(vm, pid, baseline_port, rate)


def measure_memory() -> Iterator[str]:
    """Yield the memory of an entry process by open caller connections."""
    with running_cluster(1) as cluster:
        vm = cluster.vms[0]
        opened: list[socket.socket] = []
        for wanted in _CONNECTIONS:
            while len(opened) < wanted:
                address = (_LOOPBACK, vm.caller_port)
                opened.append(socket.create_connection(address))
            time.sleep(1)
            resident = process_cost(vm.pid).resident_bytes
            yield f'{wanted} connections: {resident} bytes resident'
        for connection in opened:
            connection.close()


def measure_control() -> Iterator[str]:
    """Yield control bytes and processor time by number of entry VMs."""
    for size in _CLUSTER_SIZES:
        with running_cluster(size) as cluster:
            vm = cluster.vms[0]
            time.sleep(_SETTLE_S)
            before = (_bytes(vm), process_cost(vm.pid).cpu_s)
            time.sleep(_IDLE_S)
            sent = (_bytes(vm) - before[0]) / _IDLE_S
            cpu = (process_cost(vm.pid).cpu_s - before[1]) / _IDLE_S
            yield (
                f'{size} VMs: {sent:.0f} control bytes/s in and out, '
                f'{cpu * 100:.2f}% of a core'
            )


@contextmanager
def running_cluster(size: int) -> Iterator[Cluster]:
    """Run entry processes that agree on a view; ends them afterwards."""
    cluster = Cluster(size)
    with closing(_Stopper(cluster)):
        if not cluster.wait_ready():
            raise TimeoutError(size)
        yield cluster


def _one_load(
    vm: EntryProcess,
    pid: int,
    port: int,
    rate: int,
) -> Iterator[str]:
    before_s = process_cost(pid).cpu_s
    output = subprocess.run(
        (
            sys.executable,
            '-m',
            'turmericpost_standins',
            'load',
            '--entry',
            f'{_LOOPBACK}:{port}',
            '--admin-url',
            f'http://{_LOOPBACK}:{vm.admin_port}',
            '--rate-per-s',
            str(rate),
            '--direct-rate-per-s',
            str(rate),
            '--service-ms',
            '0',
            '--post-share',
            '0',
            '--duration-s',
            str(_LOAD_S),
        ),
        capture_output=True,
        text=True,
        check=False,
    ).stdout
    cpu_s = process_cost(pid).cpu_s - before_s
    yield from output.splitlines()
    yield f'{cpu_s / (rate * _LOAD_S) * _US_PER_S:.0f} us of a core a call'


class _Stopper:
    """Ends a cluster when closed."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    def close(self) -> None:
        """End every process."""
        self._cluster.stop()


@contextmanager
def _baseline(backend_port: int) -> Iterator[tuple[int, int]]:
    port = free_port()
    process: subprocess.Popen[Any] = subprocess.Popen(
        (
            sys.executable,
            '-m',
            'turmericpost_standins',
            'baseline-relay',
            '--port',
            str(port),
            '--backend-port',
            str(backend_port),
        )
    )
    wait_until(lambda: _answers(port))
    yield process.pid, port
    end(process)


def _answers(port: int) -> bool:
    with closing(socket.socket()) as probe:
        return probe.connect_ex((_LOOPBACK, port)) == 0


def _bytes(vm: EntryProcess) -> float:
    control = vm.admin('status')['control_bytes']
    return float(sum(control.values()))
