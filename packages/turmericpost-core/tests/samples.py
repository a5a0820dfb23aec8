"""Sample documents and a fixed time that the tests share."""

from __future__ import annotations

from datetime import UTC, datetime

from turmericpost_core.config.document import (
    BackendServer,
    ClientAccount,
    Document,
    FailureDomain,
    Service,
)

NOW_UTC = datetime(2026, 12, 4, tzinfo=UTC)

DOMAINS = (
    FailureDomain(name='cairo-a', region='cairo'),
    FailureDomain(name='alex-a', region='alexandria'),
)


def backend(port: int, domain: str = 'cairo-a', **labels: str) -> BackendServer:
    """Return a backend server of the sample service."""
    return BackendServer('10.0.0.1', port, 'pressroom', domain, dict(labels))


def document(*backends: BackendServer, **changes: object) -> Document:
    """Return a document with one service."""
    parts: dict[str, object] = {
        'failure_domains': DOMAINS,
        'services': (Service(name='pressroom', slots=3),),
        'backend_servers': backends or (backend(1), backend(2, 'alex-a')),
        'client_accounts': (
            ClientAccount(name='mosque', home_regions=('cairo',)),
            ClientAccount(name='church', labels={'tier': 'gold'}),
        ),
    }
    parts.update(changes)
    return Document(**parts)  # type: ignore[arg-type]
