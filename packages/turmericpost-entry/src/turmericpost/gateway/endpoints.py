"""HTTP endpoints of the VM: addresses for callers, readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from turmericpost.gateway.call_codec import CallCodec
from turmericpost.gateway.gateway_metrics import GatewayCollector
from turmericpost.http1.exchange import Exchange
from turmericpost_core.clock import Clock
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.membership.address_choice import (
    allowed_regions,
    choose_vms,
)
from turmericpost_core.membership.domain_view import DomainView

ADDRESSES_VALID_S = 1.0
"""Validity of an address response.

Some callers cache it three times as long, and a leaving VM must be out of every
cache well before it exits.
"""

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = (b'content-type', b'application/json')
_TEXT = (b'content-type', b'text/plain; version=0.0.4')


@dataclass(frozen=True)
class Endpoints:
    """Serves address queries, readiness checks and metrics.

    ``domain_regions`` maps failure domains to regions. ``work_s`` returns the
    seconds that backend servers recently worked on the calls of each route
    with home regions, for calls of all VMs.
    """

    call_codec: CallCodec
    clock: Clock
    view: DomainView
    state: FleetState
    domain_regions: Mapping[str, str]
    work_s: Callable[[], Mapping[str, float]]
    is_ready: Callable[[], bool]
    collector: GatewayCollector

    def begin(self, exchange: Exchange) -> None:
        """Respond to a request of one of the endpoints."""
        query = self.call_codec.read_address_query(exchange.head)
        if exchange.failure is None and query is not None:
            self._send_addresses(
                exchange,
                query.host,
                query.failure_domain,
            )
        else:
            self._send_status(exchange)

    def _send_status(self, exchange: Exchange) -> None:
        head = exchange.head
        if self.call_codec.is_readiness_request(head):
            status = _OK if self.is_ready() else _UNAVAILABLE
            exchange.send_full_response(status, [], b'')
        elif self.call_codec.is_metrics_request(head):
            exchange.send_full_response(
                _OK, [_TEXT], self.collector.exposition()
            )
        else:
            exchange.send_full_response(_NOT_FOUND, [], b'')

    def _send_addresses(
        self,
        exchange: Exchange,
        host: str,
        failure_domain: str,
    ) -> None:
        regions = frozenset(self.domain_regions.values())
        vms = choose_vms(
            self.view,
            self.domain_regions,
            failure_domain,
            allowed_regions(
                self.state.routes.routes_for_host(host),
                regions,
                self.work_s(),
            ),
            self.clock.monotonic_s(),
        )
        if not vms:
            exchange.send_full_response(_UNAVAILABLE, [], b'')
            return
        addresses = tuple(vm.caller_address for vm in vms)
        body = self.call_codec.address_response(addresses, ADDRESSES_VALID_S)
        exchange.send_full_response(_OK, [_JSON], body)
