"""A stand-in backend server with its port, which it loses in a crash."""

from __future__ import annotations

from typing import Any

from twisted.protocols.policies import WrappingFactory
from twisted.web.server import Site

from turmericpost_standins.platform_backend import PlatformBackend

_LOOPBACK = '127.0.0.1'


class PlatformServer:
    """Port and connections of a backend server.

    After a crash it listens again, and is cold for ``cold_s`` seconds.
    """

    def __init__(
        self,
        reactor: Any,
        backend: PlatformBackend,
        *,
        down_s: float = 0.5,
        cold_s: float = 3,
    ) -> None:
        self.backend = backend
        self.port = 0
        self.crashes_s: list[float] = []
        self._reactor = reactor
        self._down_s = down_s
        self._cold_s = cold_s
        site = Site(backend, reactor=reactor)
        self._connections = WrappingFactory(site)
        self._connections.noisy = False
        site.noisy = False
        self._listening_port: Any = None
        backend.crash = self._crash

    def open(self) -> None:
        """Listen on a free port, and later on the same one."""
        self._listening_port = self._reactor.listenTCP(
            self.port, self._connections, interface=_LOOPBACK
        )
        self.port = int(self._listening_port.getHost().port)

    def power_off(self) -> None:
        """Close the port and reset all connections."""
        if self._listening_port is not None:
            self._listening_port.stopListening()
            self._listening_port = None
        for connection in tuple(self._connections.protocols):
            connection.abortConnection()

    def power_on(self) -> None:
        """Listen again as a new and cold server, unless it already listens."""
        if self._listening_port is None:
            self.backend.restart(self._cold_s)
            self.open()

    def _crash(self) -> None:
        self.crashes_s.append(self._reactor.seconds())
        self.power_off()
        self._reactor.callLater(self._down_s, self.power_on)
