"""Renders the JSON views of the admin port as text."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any


def status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    """Yield lines with the revision, the entry VMs and the backend servers."""
    revision = status['revision']
    yield f'revision {revision}'
    domains_out = ', '.join(status['failure_domains_out']) or 'none'
    yield f'failure domains out of service: {domains_out}'
    for vm in status['entry_vms']:
        yield _row(
            'entry VM',
            vm['name'],
            vm['failure_domain'],
            vm['state'],
            f'revision {vm["revision"]}',
        )
    for backend in status['backend_servers']:
        yield _row(
            'backend server',
            backend['address'],
            backend['service'],
            backend['failure_domain'],
            backend.get('state', 'unknown'),
            f'{backend.get("in_flight", 0)}/{backend.get("limit", 0)}',
        )


def history_lines(history: Mapping[str, Any]) -> Iterator[str]:
    """Yield one line for each configuration change, the newest last."""
    for change in history['changes']:
        yield _row(
            change['published_at_utc'],
            change['author'],
            change['verdict'],
            f'base {change["base_revision"]}',
            f'revision {change["revision"]}',
            change['change_id'],
        )


def plan_lines(plan: Mapping[str, Any]) -> Iterator[str]:
    """Yield lines with the planned departures, in local time and UTC."""
    for departure in plan['departures']:
        yield _row(departure['failure_domain'], departure['time_zone'])
        for transition in ('leaves', 'returns'):
            local = departure[f'{transition}_local']
            utc = departure[f'{transition}_utc']
            yield f'  {transition} {local} local, {utc}'
        yield f'  rules: {departure["rules"]}'
    if not plan['departures']:
        yield 'no departure is planned'


def explain_lines(explanation: Mapping[str, Any]) -> Iterator[str]:
    """Yield lines on which servers may serve a call and why others may not."""
    idempotence = (
        'idempotent' if explanation['idempotent'] else 'not idempotent'
    )
    home_regions = explanation['home_regions']
    yield f'{explanation["service"]}: {idempotence}'
    regions = 'any' if home_regions is None else ', '.join(home_regions)
    yield f'home regions: {regions}'
    for backend in explanation['may_serve']:
        yield _row(
            'may serve',
            backend['address'],
            backend['failure_domain'],
            backend.get('state', 'unknown'),
        )
    for address in explanation['other_region']:
        yield _row('may serve when no nearer one can', address)
    for excluded in explanation['may_not_serve']:
        selector = excluded['selector']
        selector_suffix = f' {selector}' if selector else ''
        reason = excluded['reason']
        yield _row('may not', excluded['address'], f'{reason}{selector_suffix}')


def _row(*cells: str) -> str:
    return '  '.join(cells)
