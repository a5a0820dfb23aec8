"""``turmericpost demo``: the real entry path beside embedded stand-ins."""

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
from turmericpost.settings_groups import Settings, resolve_settings
from turmericpost_core.config.decode import document_to_mapping
from turmericpost_standins.deployments import (
    Deployment,
    deployment_document,
    find_deployment,
)
from turmericpost_standins.platform import StandInPlatform

EXIT_PORT_TAKEN = 1

_READY_CHECK_S = 0.02


@dataclass(frozen=True)
class DemoPlan:
    """What the demo runs, where, and for how long."""

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
    found = find_deployment(deployment)
    if found is None:
        sys.stderr.write(
            f'turmericpost: --deployment: {deployment} is neither egypt '
            'nor quebec\n',
        )
        return EXIT_USAGE
    open_log(debug=False)
    running = Demo(DemoPlan(found, http_port, admin_port, duration_s))
    return running.run()


class Demo:
    """The demo in one process."""

    def __init__(self, plan: DemoPlan) -> None:
        self._plan = plan
        self._platform = StandInPlatform(reactor, plan.deployment)
        self._node: EntryNode | None = None
        self._ending = GracefulShutdown(reactor, self._stop)

    def run(self) -> int:
        """Run until a signal or the time limit."""
        try:
            self._start()
        except CannotListenError as error:
            sys.stderr.write(f'turmericpost: {error}\n')
            return EXIT_PORT_TAKEN
        reactor.callWhenRunning(self._ending.install_signal_handlers)
        if self._plan.duration_s is not None:
            reactor.callLater(self._plan.duration_s, self._ending.end)
        reactor.callLater(0, self._announce_when_ready)
        reactor.run(installSignalHandlers=False)
        return EXIT_OK

    def _start(self) -> None:
        log_event(LogEvent.PROCESS_STARTED, command='demo')
        self._platform.start()
        document = deployment_document(
            self._plan.deployment,
            self._platform.backend_ports,
        )
        self._platform.publish(document_to_mapping(document))
        settings = self._settings()
        self._node = EntryNode(reactor, settings)
        self._node.start()

    def _settings(self) -> Settings:
        deployment = self._plan.deployment
        domain = deployment.failure_domains[0]
        flags = {
            'caller_port': str(self._plan.http_port),
            'admin_port': str(self._plan.admin_port),
            'peer_port': str(self._platform.peer_port),
            'failure_domain': domain.name,
            'region': domain.region,
            'store_region': domain.region,
            'store_address': self._platform.store_address,
            'vm_list_url': self._platform.vm_list_url,
        }
        return resolve_settings(flags, {}).unwrap()

    def _announce_when_ready(self) -> None:
        if self._node is None or self._node.forwarder.table is None:
            reactor.callLater(_READY_CHECK_S, self._announce_when_ready)
            return
        deployment = self._plan.deployment
        service = deployment.services[0].name
        caller = _loopback(self._node.caller_port)
        admin = _loopback(self._node.admin_port)
        backends = {
            name: [_loopback(port) for port in ports]
            for name, ports in self._platform.backend_ports.items()
        }
        _say(f'deployment: {deployment.name}')
        _say(f'callers:    http://{caller}')
        _say(f'operators:  http://{admin}')
        _say(f'back ends:  {json.dumps(backends)}')
        _say('try:')
        account = f'Turmericpost-Account: {deployment.account}'
        _say(f'  curl -i -H "Host: {service}" -H "{account}" http://{caller}/')
        _say('ready')

    async def _stop(self) -> None:
        if self._node is not None:
            await self._node.stop()
        await self._platform.stop()


def _loopback(port: int) -> str:
    return f'127.0.0.1:{port}'


def _say(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
