"""One entry VM on a memory reactor; what it sends goes nowhere."""

from __future__ import annotations

from typing import Any
from unittest.mock import Mock

from twisted.internet.testing import MemoryReactorClock

from turmericpost.gateway.node import GatewayNode
from turmericpost.gateway.settings import GatewaySettings, OperatingBounds
from turmericpost.platform.call_headers import PlatformCallCodec
from turmericpost.platform.store_client import StoreClient

_SETTINGS = GatewaySettings(
    name='edge-9',
    host='10.1.0.1',
    failure_domain='cairo-a',
    region='cairo',
    domain_regions={'cairo-a': 'cairo', 'alex-a': 'alex'},
    callers=('10.1.0.1', 1),
    readiness=('10.1.0.1', 2),
    directory=('10.1.0.1', 3),
    metrics=('10.1.0.1', 4),
    peer_port=7540,
    seed_hosts=('10.1.0.1',),
    store=('10.9.0.1', 5),
    operating_bounds=OperatingBounds(2, 6, 2, 5, 0.2, 64, 10),
)


def started_node(reactor: MemoryReactorClock) -> GatewayNode:
    """Return a VM that has opened its ports."""
    reactor.listenUDP = Mock()
    listen_tcp = reactor.listenTCP

    def listen_with_socket(*arguments: Any, **options: Any) -> Any:
        port = listen_tcp(*arguments, **options)
        port.socket = Mock()
        return port

    reactor.listenTCP = listen_with_socket
    node = GatewayNode(
        reactor,
        _SETTINGS,
        StoreClient(reactor, _SETTINGS.store),
        PlatformCallCodec(),
    )
    node.peers.transport = Mock()
    node.start().unwrap()
    return node
