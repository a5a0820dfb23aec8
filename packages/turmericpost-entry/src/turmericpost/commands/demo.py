"""``turmericpost demo``: an entry VM with stand-ins in one process.

The stand-ins simulate the platform and the backend servers.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from turmericpost.commands.process import GracefulShutdown
from turmericpost.commands.settings_command import EXIT_OK, EXIT_USAGE
from turmericpost.node import EntryNode
from turmericpost.observe.events import LogEvent, log_event, open_log
from turmericpost.reactor_clock import use_monotonic_time
from turmericpost.settings_groups import Settings, resolve_settings
from turmericpost_core.config.decode import document_to_mapping
from turmericpost_standins.deployments import (
    Deployment,
    deployment_document,
    find_deployment,
)
from turmericpost_standins.platform import StandInPlatform

EXIT_PORT_TAKEN = 1

_READY_CHECK_INTERVAL_S = 0.02


@dataclass(frozen=True)
class DemoOptions:
    """Deployment, ports and duration of the demo.

    If ``duration_s`` is ``None``, the demo runs until a signal ends it.
    """

    deployment: Deployment
    http_port: int
    admin_port: int
    duration_s: float | None


def demo(
    *,
    deployment: str = 'egypt',
    http_port: int = 8080,
    admin_port: int = 8081,
    duration_s: float | None = None,
) -> int:
    """Run an entry VM with stand-ins for the platform and back ends.

    :param deployment: egypt or quebec
    :param http_port: port that callers connect to
    :param admin_port: port that operators connect to
    :param duration_s: seconds after which the demo ends by itself
    """
    use_monotonic_time(reactor)
    found_deployment = find_deployment(deployment)
    if found_deployment is None:
        sys.stderr.write(
            f'turmericpost: --deployment: {deployment} is neither egypt '
            'nor quebec\n',
        )
        return EXIT_USAGE
    open_log(debug=False)
    demo_run = Demo(
        DemoOptions(found_deployment, http_port, admin_port, duration_s)
    )
    return demo_run.run()


class Demo:
    """Entry VM and stand-ins in one process."""

    def __init__(self, options: DemoOptions) -> None:
        self._options = options
        self._platform = StandInPlatform(reactor, options.deployment)
        self._node: EntryNode | None = None
        self._shutdown = GracefulShutdown(reactor, self._stop)

    def run(self) -> int:
        """Run until a signal or the time limit and return the exit status."""
        try:
            self._start()
        except CannotListenError as error:
            sys.stderr.write(f'turmericpost: {error}\n')
            return EXIT_PORT_TAKEN
        reactor.callWhenRunning(self._shutdown.install_signal_handlers)
        if self._options.duration_s is not None:
            reactor.callLater(
                self._options.duration_s, self._shutdown.shut_down
            )
        reactor.callLater(0, self._print_addresses_when_ready)
        reactor.run(installSignalHandlers=False)
        return EXIT_OK

    def _start(self) -> None:
        log_event(LogEvent.PROCESS_STARTED, command='demo')
        self._platform.start()
        document = deployment_document(
            self._options.deployment,
            self._platform.backend_ports,
        )
        self._platform.publish(document_to_mapping(document))
        settings = self._settings()
        self._node = EntryNode(reactor, settings)
        self._node.start()

    def _settings(self) -> Settings:
        deployment = self._options.deployment
        domain = deployment.failure_domains[0]
        flags = {
            'caller_port': str(self._options.http_port),
            'admin_port': str(self._options.admin_port),
            'peer_port': str(self._platform.peer_port),
            'failure_domain': domain.name,
            'region': domain.region,
            'store_region': domain.region,
            'store_address': self._platform.store_address,
            'vm_list_url': self._platform.vm_list_url,
        }
        return resolve_settings(flags, {}).unwrap()

    def _print_addresses_when_ready(self) -> None:
        if self._node is None or self._node.forwarder.table is None:
            reactor.callLater(
                _READY_CHECK_INTERVAL_S, self._print_addresses_when_ready
            )
            return
        deployment = self._options.deployment
        service = deployment.services[0].name
        caller = _loopback_address(self._node.caller_port)
        admin = _loopback_address(self._node.admin_port)
        backends = {
            name: [_loopback_address(port) for port in ports]
            for name, ports in self._platform.backend_ports.items()
        }
        _print_line(f'deployment: {deployment.name}')
        _print_line(f'callers:    http://{caller}')
        _print_line(f'operators:  http://{admin}')
        _print_line(f'back ends:  {json.dumps(backends)}')
        _print_line('try:')
        account = f'Turmericpost-Account: {deployment.account}'
        _print_line(
            f'  curl -i -H "Host: {service}" -H "{account}" http://{caller}/'
        )
        _print_line('ready')

    async def _stop(self) -> None:
        if self._node is not None:
            await self._node.stop()
        await self._platform.stop()


def _loopback_address(port: int) -> str:
    return f'127.0.0.1:{port}'


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
