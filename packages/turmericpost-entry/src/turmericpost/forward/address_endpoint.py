"""HTTP endpoint that lists the entry VMs a caller should use for a service."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from urllib.parse import parse_qs, urlsplit

from result import Err, Ok, Result

from turmericpost.forward.call_facts import (
    ACCOUNT_HEADER,
    HOME_REGIONS_HEADER,
    parse_home_regions,
)
from turmericpost.forward.refusals import send_refusal
from turmericpost.http1.exchange import Exchange
from turmericpost_core.clock import Clock
from turmericpost_core.membership.owner_selection import (
    AddressRequest,
    choose_owner_vms,
)
from turmericpost_core.membership.vm_records import VmRecord
from turmericpost_core.operations.keys import new_key_prefix
from turmericpost_core.outcome.reasons import Outcome, RefusalReason
from turmericpost_core.routing.facts import CallFacts
from turmericpost_core.routing.ownership import Ownership
from turmericpost_core.routing.table import RoutingTable

_ADDRESSES_PATH = '/.well-known/turmericpost/addresses'


@dataclass(frozen=True)
class AddressEndpointDependencies:
    """Collaborators of the address endpoint."""

    table: Callable[[], RoutingTable | None]
    vms: Callable[[], tuple[VmRecord, ...]]
    ownership: Callable[[], Ownership]
    random: Random
    own_region: str
    clock: Clock
    record_refusal: Callable[[RefusalReason], None]


class AddressEndpoint:
    """Responds to address requests with a JSON list of entry VMs."""

    def __init__(self, dependencies: AddressEndpointDependencies) -> None:
        self._dependencies = dependencies

    def respond(self, exchange: Exchange) -> None:
        """Send the address list, or a refusal, for one request."""
        body_result = self._build_body(exchange)
        if body_result.is_err():
            reason = body_result.unwrap_err()
            self._dependencies.record_refusal(reason)
            send_refusal(exchange, Outcome.NOT_RUN, reason)
            return
        headers = [
            (b'content-type', b'application/json'),
            (b'turmericpost-outcome', b'complete'),
        ]
        exchange.send_full_response(
            HTTPStatus.OK, headers, body_result.unwrap()
        )

    def _build_body(self, exchange: Exchange) -> Result[bytes, RefusalReason]:
        url = urlsplit(exchange.head.target.decode('latin-1'))
        services = parse_qs(url.query).get('service', [])
        if url.path != _ADDRESSES_PATH or len(services) != 1:
            return Err(RefusalReason.MALFORMED_REQUEST)
        table = self._dependencies.table()
        if table is None:
            return Err(RefusalReason.NOT_READY)
        facts = _call_facts(exchange, services[0])
        return table.allowed_home_regions(facts).and_then(
            lambda home_regions: self._render(table, facts, home_regions),
        )

    def _render(
        self,
        table: RoutingTable,
        facts: CallFacts,
        home_regions: frozenset[str] | None,
    ) -> Result[bytes, RefusalReason]:
        limits = table.document.limits
        vms = choose_owner_vms(
            AddressRequest(
                facts.service,
                home_regions,
                self._dependencies.own_region,
            ),
            self._dependencies.vms(),
            self._dependencies.ownership(),
            self._dependencies.random,
        )
        if not vms:
            return Err(RefusalReason.NOT_READY)
        address_list = {
            'addresses': [
                {
                    'host': vm.identity.caller_host,
                    'port': vm.identity.caller_port,
                }
                for vm in vms
            ],
            'valid_for_s': limits.answers_valid_s,
            'operation_key_prefix': new_key_prefix(
                vms[0], self._dependencies.clock.utc_now()
            ),
        }
        return Ok(json.dumps(address_list).encode())


def _call_facts(exchange: Exchange, service: str) -> CallFacts:
    head = exchange.head
    account = head.first(ACCOUNT_HEADER) or b''
    regions = head.first(HOME_REGIONS_HEADER)
    return CallFacts(
        service=service,
        account=account.decode('latin-1').strip(),
        method='GET',
        path='/',
        requested_home_regions=parse_home_regions(
            None if regions is None else regions.decode('latin-1'),
        ),
    )
