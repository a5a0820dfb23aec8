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
from turmericpost_standins.control import Control
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
EXIT_UNCLEAN = 1
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
    """Drive an entry VM and a back end at once and compare latencies.

    :param entry: address of the entry VM
    :param admin_url: admin port that names the back ends
    :param service: service to call
    :param account: client account to call as
    :param rate_per_s: calls a second through the entry VM
    :param direct_rate_per_s: calls a second straight to one back end
    :param duration_s: seconds to run
    :param service_ms: fixed service time asked of the stand-in back ends
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
        backend = _target(_last_backend(admin_url, service))
    except (OSError, IndexError) as error:
        sys.stderr.write(f'load: no back end known from {admin_url}: {error}\n')
        return EXIT_USAGE
    statuses: list[int] = []
    running = Deferred.fromCoroutine(
        _report(plan, _target(entry), backend, statuses),
    )
    running.addErrback(_print_failure)
    running.addBoth(lambda _ended: reactor.callLater(0, reactor.stop))
    reactor.run()
    return statuses[0] if statuses else EXIT_UNCLEAN


def stand_ins(
    *,
    deployment: str = 'egypt',
    duration_s: float = 600,
) -> int:
    """Run the store, the VM list and the back ends of a deployment.

    :param deployment: egypt or quebec
    :param duration_s: seconds after which the stand-ins end by themselves
    """
    found = find_deployment(deployment)
    if found is None:
        sys.stderr.write(f'--deployment: {deployment} is not known\n')
        return EXIT_USAGE
    platform = StandInPlatform(reactor, found)
    platform.start()
    document = deployment_document(found, platform.backend_ports)
    platform.publish(document_to_mapping(document))
    control = reactor.listenTCP(0, Site(Control(platform)), interface=_LOOPBACK)
    places = {
        'control_port': control.getHost().port,
        'store_address': platform.store_address,
        'vm_list_url': platform.vm_list_url,
        'backends': platform.backend_ports,
    }
    sys.stdout.write(f'{json.dumps(places)}\n')
    sys.stdout.flush()
    reactor.callLater(duration_s, reactor.stop)
    signal.signal(signal.SIGTERM, _end)
    reactor.run()
    return EXIT_OK


def baseline_relay(
    *,
    port: int,
    backend_port: int,
    duration_s: float = 600,
) -> int:
    """Run the plain relay that the entry process is compared with.

    :param port: port to listen on
    :param backend_port: port of the one back end
    :param duration_s: seconds after which the relay ends by itself
    """
    url = f'http://{_LOOPBACK}:{backend_port}'
    site = Site(BaselineRelay(reactor, url))
    reactor.listenTCP(port, site, interface=_LOOPBACK)
    reactor.callLater(duration_s, reactor.stop)
    signal.signal(signal.SIGTERM, _end)
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
    """Compare the product with baselines on a fake clock.

    :param load: offered load as a share of the back ends' capacity
    :param calls: calls to simulate
    :param owners: entry VMs that own the service
    :param seed: seed of arrivals and service times
    :param plot: file for a plot of the latency percentiles, as SVG
    """
    workload = Workload(calls=calls, load=load, seed=seed)
    compared = []
    for one in run_all(workload, owners):
        sys.stdout.write(f'{table_row(one)}\n')
        sys.stdout.flush()
        compared.append(one)
    if plot is not None:
        plot.write_text(percentile_plot(compared), encoding='utf-8')
    return EXIT_OK


async def _report(
    plan: LoadPlan,
    entry: LoadTarget,
    backend: LoadTarget,
    statuses: list[int],
) -> None:
    through, direct = await run_load(reactor, plan, entry, backend)
    for line in report_lines(through, direct):
        sys.stdout.write(f'{line}\n')
    statuses.append(EXIT_OK if is_clean(through) else EXIT_UNCLEAN)


def _last_backend(admin_url: str, service: str) -> str:
    url = f'{admin_url}/v1/status'
    with urlopen(url, timeout=_ADMIN_TIMEOUT_S) as answer:
        status = json.load(answer)
    addresses = [
        str(one['address'])
        for one in status['backend_servers']
        if one['service'] == service
    ]
    return addresses[-1]


def _target(address: str) -> LoadTarget:
    host, _, port = address.rpartition(':')
    return LoadTarget(host, int(port))


def _print_failure(failure: Any) -> None:
    sys.stderr.write(f'{failure.getErrorMessage()}\n')


def _end(_number: int, _frame: object) -> None:
    reactor.callFromThread(reactor.stop)
