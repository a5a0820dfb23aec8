"""Limits of what operators' connections to the admin port may take."""

from __future__ import annotations

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.server import Request, Site

from turmericpost.admin.resources import admin_root
from turmericpost.admin.settings import AdminSettings
from turmericpost.admin.views import AdminState
from turmericpost_core.config.decode import MAX_DOCUMENT_BYTES
from turmericpost_core.limits.connection_slots import ConnectionSlots

MAX_BODY_BYTES = 2 * MAX_DOCUMENT_BYTES
"""Maximum size of a request body: a document and its encoding as JSON text."""

_TOO_LARGE = (
    b'HTTP/1.1 413 Content Too Large\r\nConnection: close\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class LimitedRequest(Request):
    """A request whose body has at most ``MAX_BODY_BYTES``."""

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)
        self._body_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Refuse a body whose stated length is too large."""
        is_too_large = length is not None and length > MAX_BODY_BYTES
        super().gotLength(0 if is_too_large else length)
        if is_too_large:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: WPS110
        """Store a part of the body, or refuse it."""
        self._body_bytes += len(data)
        if self._body_bytes <= MAX_BODY_BYTES:
            super().handleContentChunk(data)
        else:
            self._refuse()

    def _refuse(self) -> None:
        self.channel.transport.write(_TOO_LARGE)
        self.channel.loseConnection()


class LimitedSite(WrappingFactory):
    """A site with a limited number of connections; the oldest is closed."""

    noisy = False

    def __init__(self, site: Site, max_connections: int) -> None:
        super().__init__(site)
        self._slots = ConnectionSlots[ProtocolWrapper](max_connections)

    def registerProtocol(self, protocol: ProtocolWrapper) -> None:
        """Add a connection, and close the oldest one if need be."""
        super().registerProtocol(protocol)
        closed_connection = self._slots.add(protocol)
        if closed_connection is not None:
            closed_connection.transport.abortConnection()

    def unregisterProtocol(self, protocol: ProtocolWrapper) -> None:
        """Remove a connection that has closed."""
        super().unregisterProtocol(protocol)
        self._slots.remove(protocol)


def new_admin_site(state: AdminState, settings: AdminSettings) -> LimitedSite:
    """Return the protocol factory of the admin port."""
    site = Site(admin_root(state), requestFactory=LimitedRequest)
    site.noisy = False
    return LimitedSite(site, settings.max_admin_connections)
