"""Callers that use their connections until these close."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from twisted.internet.error import ConnectError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from tests.soak.vm_process import VmProcess

_LENGTH = re.compile(rb'\r\ncontent-length: (\d+)\r\n', re.IGNORECASE)
_REQUEST_ID = re.compile(rb'\r\nx-request-id: (\S+)', re.IGNORECASE)
_GIVE_UP_S = 5.0
_MAX_PAUSE_S = 0.06
_RECONNECT_PAUSE_S = 0.03
_ORDER_SHARE = 0.5
_BODY_REPEATS = 300


@dataclass
class SentRequest:
    """One request of a caller, and how it ended.

    ``status`` is 0 until there is a whole response. ``is_cut`` is set if the
    connection closed before, and stays false if the caller gave up.
    ``response_id`` is the request id that the response has. ``opened_s`` is
    when its connection was opened, ``is_first`` tells whether it was the first
    one there.
    """

    request_id: str
    is_order: bool
    vm: VmProcess
    opened_s: float
    sent_s: float
    is_first: bool
    ended_s: float = 0
    status: int = 0
    response_id: str = ''
    is_cut: bool = False

    @property
    def body(self) -> bytes:
        """Body of the request, which is different for each order."""
        return (
            self.request_id.encode() * _BODY_REPEATS if self.is_order else b''
        )

    def wire(self) -> bytes:
        """Return the bytes of the request."""
        method, path = ('POST', '/order/') if self.is_order else ('GET', '/a/')
        length = len(self.body)
        head = (
            f'{method} {path}x HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Request-Id: {self.request_id}\r\nX-Deadline-Ms: 1500\r\n'
            f'Content-Length: {length}\r\n\r\n'
        )
        return head.encode() + self.body


class Caller:
    """Sends one request after the other, to any VM that may be up."""

    def __init__(
        self,
        reactor: Any,
        random: Random,
        name: str,
        addresses: Callable[[], list[VmProcess]],
    ) -> None:
        self.requests: list[SentRequest] = []
        self.is_finished = False
        self.reactor = reactor
        self._random = random
        self._name = name
        self._addresses = addresses

    def connect(self) -> None:
        """Open a connection to a VM."""
        vms = self._addresses()
        if self.is_finished or not vms:
            self.reconnect()
            return
        vm = self._random.choice(vms)
        opened_s = self.reactor.seconds()
        self.reactor.connectTCP(
            *vm.caller_address, _CallerFactory(self, vm, opened_s), timeout=1
        )

    def reconnect(self) -> None:
        """Open the next connection after a pause."""
        if not self.is_finished:
            self.reactor.callLater(_RECONNECT_PAUSE_S, self.connect)

    def new_request(
        self, vm: VmProcess, opened_s: float, *, is_first: bool
    ) -> SentRequest:
        """Return the next request, which is sent now."""
        number = len(self.requests)
        request = SentRequest(
            f'{self._name}-{number}',
            self._random.random() < _ORDER_SHARE,
            vm,
            opened_s,
            self.reactor.seconds(),
            is_first,
        )
        self.requests.append(request)
        return request

    def pause_s(self) -> float:
        """Return the time to wait before the next request."""
        return self._random.uniform(0, _MAX_PAUSE_S)


class _CallerFactory(ClientFactory):
    noisy = False

    def __init__(self, caller: Caller, vm: VmProcess, opened_s: float) -> None:
        self._caller = caller
        self._vm = vm
        self._opened_s = opened_s

    def buildProtocol(self, addr: Any) -> _CallerConnection:
        return _CallerConnection(self._caller, self._vm, self._opened_s)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        reason.trap(ConnectError)
        self._caller.reconnect()


class _CallerConnection(Protocol):
    def __init__(self, caller: Caller, vm: VmProcess, opened_s: float) -> None:
        self._caller = caller
        self._vm = vm
        self._opened_s = opened_s
        self._request: SentRequest | None = None
        self._is_used = False
        self._received = b''
        self._give_up: Any = None

    def connectionMade(self) -> None:
        self._caller.reactor.callLater(self._caller.pause_s(), self._send)

    def dataReceived(self, data: bytes) -> None:  # noqa: WPS110
        self._received += data
        head, separator, body = self._received.partition(b'\r\n\r\n')
        length = _LENGTH.search(head + b'\r\n')
        request = self._request
        if not separator or length is None or request is None:
            return
        if len(body) < int(length.group(1)):
            return
        self._end(request)
        request.status = int(head.split()[1])
        request.response_id = _response_id(head)
        self._received = b''
        if b'connection: close' in head.lower():
            self.transport.loseConnection()
        else:
            self._caller.reactor.callLater(self._caller.pause_s(), self._send)

    def connectionLost(self, reason: Failure) -> None:
        if self._request is not None:
            self._request.is_cut = True
            self._end(self._request)
        self._caller.reconnect()

    def _send(self) -> None:
        if not self.transport.connected or self.transport.disconnecting:
            return
        if self._caller.is_finished:
            self.transport.loseConnection()
            return
        self._request = self._caller.new_request(
            self._vm, self._opened_s, is_first=not self._is_used
        )
        self._is_used = True
        self.transport.write(self._request.wire())
        self._give_up = self._caller.reactor.callLater(_GIVE_UP_S, self._leave)

    def _end(self, request: SentRequest) -> None:
        request.ended_s = self._caller.reactor.seconds()
        self._request = None
        if self._give_up.active():
            self._give_up.cancel()

    def _leave(self) -> None:
        self._request = None
        self.transport.abortConnection()


def _response_id(head: bytes) -> str:
    """Return the request id that the backend server repeated, if any."""
    match = _REQUEST_ID.search(head)
    return '' if match is None else match.group(1).decode()
