"""Commands of the stand-ins package."""

from __future__ import annotations

import json
import signal
import sys
from pathlib import Path
from typing import Any
from urllib.request import urlopen

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from turmericpost_core.config.decode import document_to_mapping
from turmericpost_standins.bench.percentile_plot import (
    percentile_plot,
    table_row,
)
from turmericpost_standins.bench.run_bench import run_all
from turmericpost_standins.bench.workload import Workload
from turmericpost_standins.control import ControlResource
from turmericpost_standins.deployments import (
    deployment_document,
    find_deployment,
)
from turmericpost_standins.experiment.baseline_relay import BaselineRelay
from turmericpost_standins.experiment.measure import (
    measure_calls,
    measure_control,
    measure_memory,
)
from turmericpost_standins.experiment.measure_changes import (
    measure_changes,
    measure_documents,
)
from turmericpost_standins.load.client import LoadTarget
from turmericpost_standins.load.results import is_clean, report_lines
from turmericpost_standins.load.run_load import LoadPlan, run_load
from turmericpost_standins.platform import StandInPlatform

EXIT_OK = 0
EXIT_INVALID_RESPONSES = 1
EXIT_USAGE = 2

_ADMIN_TIMEOUT_S = 5
_LOOPBACK = '127.0.0.1'


def drive_load(  # noqa: WPS211
    *,
    entry: str = '127.0.0.1:8080',
    admin_url: str = 'http://127.0.0.1:8081',
    service: str = 'catalogue',
    account: str = 'load-tool',
    rate_per_s: float = 300,
    direct_rate_per_s: float = 100,
    duration_s: float = 20,
    service_ms: float | None = None,
    post_share: float = 0.2,
    seed: int = 1,
) -> int:
    """Compare latencies through an entry VM and directly to a backend server.

    :param entry: address of the entry VM
    :param admin_url: admin port that lists the backend servers
    :param service: service to call
    :param account: client account to call as
    :param rate_per_s: calls a second through the entry VM
    :param direct_rate_per_s: calls a second directly to one backend server
    :param duration_s: seconds to run
    :param service_ms: fixed service time of the stand-in backend servers
    :param post_share: share of the calls that are POST
    :param seed: seed of the arrivals
    """
    plan = LoadPlan(
        service=service,
        account=account,
        rate_per_s=rate_per_s,
        direct_rate_per_s=direct_rate_per_s,
        duration_s=duration_s,
        service_ms=service_ms,
        post_share=post_share,
        seed=seed,
    )
    try:
        backend = _parse_address(_last_backend_address(admin_url, service))
    except (OSError, IndexError) as error:
        sys.stderr.write(
            f'load: {admin_url} lists no backend server: {error}\n'
        )
        return EXIT_USAGE
    exit_statuses: list[int] = []
    load_run = Deferred.fromCoroutine(
        _run_and_report(plan, _parse_address(entry), backend, exit_statuses),
    )
    load_run.addErrback(_print_failure)
    load_run.addBoth(lambda _ended: reactor.callLater(0, reactor.stop))
    reactor.run()
    return exit_statuses[0] if exit_statuses else EXIT_INVALID_RESPONSES


def stand_ins(
    *,
    deployment: str = 'egypt',
    duration_s: float = 600,
) -> int:
    """Run the store, the VM list and the backend servers of a deployment.

    :param deployment: egypt or quebec
    :param duration_s: seconds after which the stand-ins end by themselves
    """
    selected_deployment = find_deployment(deployment)
    if selected_deployment is None:
        sys.stderr.write(f'--deployment: {deployment} is not known\n')
        return EXIT_USAGE
    platform = StandInPlatform(reactor, selected_deployment)
    platform.start()
    document = deployment_document(selected_deployment, platform.backend_ports)
    platform.publish(document_to_mapping(document))
    control = reactor.listenTCP(
        0, Site(ControlResource(platform)), interface=_LOOPBACK
    )
    endpoints = {
        'control_port': control.getHost().port,
        'store_address': platform.store_address,
        'vm_list_url': platform.vm_list_url,
        'backends': platform.backend_ports,
    }
    sys.stdout.write(f'{json.dumps(endpoints)}\n')
    sys.stdout.flush()
    reactor.callLater(duration_s, reactor.stop)
    signal.signal(signal.SIGTERM, _stop_reactor)
    reactor.run()
    return EXIT_OK


def baseline_relay(
    *,
    port: int,
    backend_port: int,
    duration_s: float = 600,
) -> int:
    """Run the minimal relay that the entry process is compared with.

    :param port: port to listen on
    :param backend_port: port of the only backend server
    :param duration_s: seconds after which the relay ends by itself
    """
    url = f'http://{_LOOPBACK}:{backend_port}'
    site = Site(BaselineRelay(reactor, url))
    reactor.listenTCP(port, site, interface=_LOOPBACK)
    reactor.callLater(duration_s, reactor.stop)
    signal.signal(signal.SIGTERM, _stop_reactor)
    reactor.run()
    return EXIT_OK


def measure(*, what: str = 'calls') -> int:
    """Measure an entry process on loopback.

    :param what: calls, memory, control, changes or documents
    """
    measurements = {
        'calls': measure_calls,
        'memory': measure_memory,
        'control': measure_control,
        'changes': measure_changes,
        'documents': measure_documents,
    }
    if what not in measurements:
        sys.stderr.write(f'--what: {what} is not known\n')
        return EXIT_USAGE
    for line in measurements[what]():
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()
    return EXIT_OK


def bench(
    *,
    load: float = 0.85,
    calls: int = 100_000,
    owners: int = 4,
    seed: int = 1,
    plot: Path | None = None,
) -> int:
    """Compare the load balancer with baseline policies on a simulated clock.

    :param load: offered load as a share of the backend servers' capacity
    :param calls: calls to simulate
    :param owners: entry VMs that own the service
    :param seed: seed of arrivals and service times
    :param plot: file for a plot of the latency percentiles, as SVG
    """
    workload = Workload(calls=calls, load=load, seed=seed)
    policy_results = []
    for policy_result in run_all(workload, owners):
        sys.stdout.write(f'{table_row(policy_result)}\n')
        sys.stdout.flush()
        policy_results.append(policy_result)
    if plot is not None:
        plot.write_text(percentile_plot(policy_results), encoding='utf-8')
    return EXIT_OK


async def _run_and_report(
    plan: LoadPlan,
    entry: LoadTarget,
    backend: LoadTarget,
    exit_statuses: list[int],
) -> None:
    via_entry_vm, direct = await run_load(reactor, plan, entry, backend)
    for line in report_lines(via_entry_vm, direct):
        sys.stdout.write(f'{line}\n')
    exit_statuses.append(
        EXIT_OK if is_clean(via_entry_vm) else EXIT_INVALID_RESPONSES
    )


def _last_backend_address(admin_url: str, service: str) -> str:
    url = f'{admin_url}/v1/status'
    with urlopen(url, timeout=_ADMIN_TIMEOUT_S) as response:
        status = json.load(response)
    addresses = [
        str(server['address'])
        for server in status['backend_servers']
        if server['service'] == service
    ]
    return addresses[-1]


def _parse_address(address: str) -> LoadTarget:
    host, _, port = address.rpartition(':')
    return LoadTarget(host, int(port))


def _print_failure(failure: Any) -> None:
    sys.stderr.write(f'{failure.getErrorMessage()}\n')


def _stop_reactor(_number: int, _frame: object) -> None:
    reactor.callFromThread(reactor.stop)
