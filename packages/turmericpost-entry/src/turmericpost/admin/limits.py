"""Limits of what operators' connections to the admin port may take."""

from __future__ import annotations

from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.server import Site

from turmericpost.admin.resources import admin_root
from turmericpost.admin.settings import AdminSettings
from turmericpost.admin.views import AdminState
from turmericpost_core.limits.connection_slots import ConnectionSlots


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
    site = Site(admin_root(state))
    site.noisy = False
    return LimitedSite(site, settings.max_admin_connections)
