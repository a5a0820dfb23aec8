"""Measures latency, CPU time, memory and control traffic of an entry process."""

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
    kill_process,
    wait_until,
)
from turmericpost_standins.platform import ReservedPort

_LOOPBACK = '127.0.0.1'
_CALL_RATES_PER_S = (100, 200, 400)
_CLUSTER_SIZES = (3, 6, 12)
_CONNECTION_COUNTS = (0, 250, 500)
_LOAD_DURATION_S = 8
_IDLE_DURATION_S = 8
_SETTLING_TIME_S = 12
_US_PER_S = 1_000_000


def measure_calls() -> Iterator[str]:
    """Yield lines on latency and CPU time for each call rate.

    Measures an entry process and the ``twisted.web`` baseline relay.
    """
    with running_cluster(1) as cluster:
        vm = cluster.vms[0]
        port = cluster.stand_ins.endpoints['backends']['catalogue'][-1]
        with _running_baseline(port) as relay:
            for rate in _CALL_RATES_PER_S:
                yield f'-- {rate} calls/s, service time 0'
                yield from _run_load_tool(vm, vm.pid, vm.caller_port, rate)
                yield f'-- {rate} calls/s through the twisted.web baseline'
                pid, baseline_port = relay
                yield from _run_load_tool(vm, pid, baseline_port, rate)


def measure_memory() -> Iterator[str]:
    """Yield a line on the resident memory for each number of open connections.

    The connections are idle caller connections to one entry process.
    """
    with running_cluster(1) as cluster:
        vm = cluster.vms[0]
        open_connections: list[socket.socket] = []
        for connection_count in _CONNECTION_COUNTS:
            while len(open_connections) < connection_count:
                address = (_LOOPBACK, vm.caller_port)
                open_connections.append(socket.create_connection(address))
            time.sleep(1)
            resident = process_cost(vm.pid).resident_bytes
            yield f'{connection_count} connections: {resident} bytes resident'
        for connection in open_connections:
            connection.close()


def measure_control() -> Iterator[str]:
    """Yield a line on control traffic and CPU use for each cluster size.

    Measures one idle entry process after the cluster has settled.
    """
    for size in _CLUSTER_SIZES:
        with running_cluster(size) as cluster:
            vm = cluster.vms[0]
            time.sleep(_SETTLING_TIME_S)
            before = (_control_bytes(vm), process_cost(vm.pid).cpu_s)
            time.sleep(_IDLE_DURATION_S)
            bytes_per_s = (_control_bytes(vm) - before[0]) / _IDLE_DURATION_S
            cpu_share = (
                process_cost(vm.pid).cpu_s - before[1]
            ) / _IDLE_DURATION_S
            yield (
                f'{size} VMs: {bytes_per_s:.0f} control bytes/s in and out, '
                f'{cpu_share * 100:.2f}% of a core'
            )


@contextmanager
def running_cluster(size: int) -> Iterator[Cluster]:
    """Run a cluster of entry processes; stop it on exit.

    :raises TimeoutError: if the processes don't become ready in time
    """
    cluster = Cluster(size)
    with closing(_ClosableCluster(cluster)):
        if not cluster.wait_ready():
            raise TimeoutError(size)
        yield cluster


def _run_load_tool(
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
            str(_LOAD_DURATION_S),
        ),
        capture_output=True,
        text=True,
        check=False,
    ).stdout
    cpu_s = process_cost(pid).cpu_s - before_s
    yield from output.splitlines()
    yield f'{cpu_s / (rate * _LOAD_DURATION_S) * _US_PER_S:.0f} us of a core a call'


class _ClosableCluster:
    """Adds a ``close`` method to a cluster, for ``contextlib.closing``."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster

    def close(self) -> None:
        """Stop every process of the cluster."""
        self._cluster.stop()


@contextmanager
def _running_baseline(backend_port: int) -> Iterator[tuple[int, int]]:
    reserved = ReservedPort()
    port = reserved.number
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
    wait_until(lambda: _accepts_connections(port))
    yield process.pid, port
    kill_process(process)
    reserved.release()


def _accepts_connections(port: int) -> bool:
    with closing(socket.socket()) as probe:
        return probe.connect_ex((_LOOPBACK, port)) == 0


def _control_bytes(vm: EntryProcess) -> float:
    control = vm.admin('status')['control_bytes']
    return float(sum(control.values()))
