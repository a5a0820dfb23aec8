"""Text for people from the views of the administration API."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any


def status_lines(status: Mapping[str, Any]) -> Iterator[str]:
    """Yield the revision, the entry VMs and the backend servers."""
    revision = status['revision']
    yield f'revision {revision}'
    out = ', '.join(status['failure_domains_out']) or 'none'
    yield f'failure domains out of service: {out}'
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
    """Yield the changes, the newest last."""
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
    """Yield the departures in local time and UTC."""
    for departure in plan['departures']:
        yield _row(departure['failure_domain'], departure['time_zone'])
        for edge in ('leaves', 'returns'):
            local = departure[f'{edge}_local']
            utc = departure[f'{edge}_utc']
            yield f'  {edge} {local} local, {utc}'
        yield f'  rules: {departure["rules"]}'
    if not plan['departures']:
        yield 'no departure is planned'


def explain_lines(explained: Mapping[str, Any]) -> Iterator[str]:
    """Yield which backend servers may serve, and why others may not."""
    repeat = 'idempotent' if explained['idempotent'] else 'not idempotent'
    home = explained['home_regions']
    yield f'{explained["service"]}: {repeat}'
    regions = 'any' if home is None else ', '.join(home)
    yield f'home regions: {regions}'
    for backend in explained['may_serve']:
        yield _row(
            'may serve',
            backend['address'],
            backend['failure_domain'],
            backend.get('state', 'unknown'),
        )
    for address in explained['other_region']:
        yield _row('may serve when no nearer one can', address)
    for excluded in explained['may_not_serve']:
        selector = excluded['selector']
        named = f' {selector}' if selector else ''
        reason = excluded['reason']
        yield _row('may not', excluded['address'], f'{reason}{named}')


def _row(*cells: str) -> str:
    return '  '.join(cells)
