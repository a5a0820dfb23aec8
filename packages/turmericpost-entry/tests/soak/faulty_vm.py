"""An entry VM in which one way of passing on state is broken.

``python -m tests.soak.faulty_vm`` with the name of a fault, the VMs that have
it and the seconds after the start in ``FAULT_VARIABLE``.
"""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from types import MappingProxyType
from typing import Any

from result import Err, Result

from turmericpost.fleet import state_pusher, update_stream
from turmericpost.gateway import node as gateway_node
from turmericpost.platform.process import main
from turmericpost.platform.store_client import StoreClient
from turmericpost.store.errors import StoreError, StoreErrorKind

FAULT_VARIABLE = 'TURMERICPOST_TEST_FAULT'
ALL_VMS = 'all'
READERS = 'readers'

_READS = (
    'list_backends',
    'read_backends',
    'list_operator',
    'watch_operator',
)
_TOO_LARGE_BYTES = 17_000_000
_nodes: list[gateway_node.GatewayNode] = []


def _raise(*_arguments: Any) -> bytes:
    raise UnicodeEncodeError('utf-8', '\ud800', 0, 1, 'surrogates not allowed')


def _break_encoder(is_broken: Callable[[], bool]) -> None:
    """Let the encoder of updates raise an exception."""
    _replace_encoder(is_broken, _raise)


def _garble_updates(is_broken: Callable[[], bool]) -> None:
    """Let updates be no message."""
    _replace_encoder(is_broken, lambda _update: b'no update')


def _enlarge_updates(is_broken: Callable[[], bool]) -> None:
    """Let updates be longer than a stream takes."""
    _replace_encoder(is_broken, lambda _update: bytes(_TOO_LARGE_BYTES))


def _replace_encoder(
    is_broken: Callable[[], bool], broken: Callable[[Any], bytes]
) -> None:
    for module in (update_stream, state_pusher):
        encode_update = module.encode_update

        def encode(update: Any, usual: Any = encode_update) -> bytes:
            return broken(update) if is_broken() else bytes(usual(update))

        module.encode_update = encode


def _refuse_streams(is_broken: Callable[[], bool]) -> None:
    """Let the VM close streams without a response, and push nothing."""
    server_class = update_stream.UpdateServer
    usual = server_class.buildProtocol
    server_class.buildProtocol = lambda server, address: (
        None if is_broken() else usual(server, address)
    )
    _lose_pushes(is_broken)


def _silence_streams(is_broken: Callable[[], bool]) -> None:
    """Let the VM leave streams open without a response, and push nothing."""
    responder_class = update_stream._UpdateResponder  # noqa: SLF001
    usual = responder_class.dataReceived

    def receive(responder: Any, received: bytes) -> None:
        if not is_broken():
            usual(responder, received)

    responder_class.dataReceived = receive
    _lose_pushes(is_broken)


def _lose_pushes(is_broken: Callable[[], bool]) -> None:
    """Let the VM send none of the updates that fit into a datagram."""
    protocol_class = gateway_node.PeerProtocol
    usual = protocol_class.push
    protocol_class.push = lambda protocol, update: (
        False if is_broken() else usual(protocol, update)
    )


def _turn_away(is_broken: Callable[[], bool]) -> None:
    """Let the store reject all reads of the VM."""
    for name in _READS:
        usual = getattr(StoreClient, name)

        async def read(
            store: Any, *arguments: Any, usual: Any = usual
        ) -> Result[Any, StoreError]:
            if is_broken():
                return Err(StoreError(StoreErrorKind.OVERLOADED, 'test'))
            read_result: Result[Any, StoreError] = await usual(
                store, *arguments
            )
            return read_result

        setattr(StoreClient, name, read)


FAULTS = MappingProxyType(
    {
        'encoder': _break_encoder,
        'garbled': _garble_updates,
        'too-large': _enlarge_updates,
        'refused': _refuse_streams,
        'silent': _silence_streams,
        'pushes': _lose_pushes,
        'turned-away': _turn_away,
    }
)


def _install(setting: str) -> None:
    fault, scope, after_s = setting.split()
    begin_s = time.monotonic() + float(after_s)
    build = gateway_node.GatewayNode.__init__

    def remember(node: Any, *arguments: Any) -> None:
        build(node, *arguments)
        _nodes.append(node)

    gateway_node.GatewayNode.__init__ = remember

    def is_broken() -> bool:
        if time.monotonic() < begin_s:
            return False
        return scope == ALL_VMS or _nodes[0].state_sync.is_reader()

    FAULTS[fault](is_broken)


if __name__ == '__main__':
    if os.environ.get(FAULT_VARIABLE):
        _install(os.environ[FAULT_VARIABLE])
    sys.exit(main())
