"""Matching of selectors with calls and backend servers."""

from __future__ import annotations

from collections.abc import Mapping

from turmericpost_core.config.document import (
    BackendServer,
    ClientAccount,
    Effect,
    FailureDomain,
    RequestSelector,
    Selector,
)
from turmericpost_core.routing.facts import CallFacts

_IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'TRACE'),
)


def matches_request(
    selector: RequestSelector,
    facts: CallFacts,
    account: ClientAccount,
) -> bool:
    """Return whether a selector applies to a call."""
    if selector.service not in {None, facts.service}:
        return False
    if selector.methods and facts.method not in selector.methods:
        return False
    if not has_path_prefix(facts.path, selector.path_prefix):
        return False
    return has_labels(account.labels, selector.account_labels)


def has_path_prefix(path: str, prefix: str) -> bool:
    """Return whether a path equals a prefix or lies below it.

    Whole path segments are compared: ``/a`` is a prefix of ``/a/b`` but not
    of ``/ab``.
    """
    stem = prefix.rstrip('/')
    if not path.startswith(stem):
        return False
    rest = path.removeprefix(stem)
    return not rest or rest.startswith('/')


def has_labels(
    labels: Mapping[str, str], required_labels: Mapping[str, str]
) -> bool:
    """Return whether all required labels are present with their values."""
    return all(
        labels.get(name) == text for name, text in required_labels.items()
    )


def admits_backend(
    selector: Selector,
    backend: BackendServer,
    domain: FailureDomain,
) -> bool:
    """Return whether a selector that applies admits a backend server."""
    if not (selector.backend_labels or selector.failure_domain_labels):
        return True
    is_selected = has_labels(backend.labels, selector.backend_labels)
    is_selected = is_selected and has_labels(
        domain.labels, selector.failure_domain_labels
    )
    return is_selected if selector.effect is Effect.ALLOW else not is_selected


def is_idempotent(method: str, selectors: tuple[Selector, ...]) -> bool:
    """Return whether a call is idempotent, so that it may run twice.

    Selectors that set it take precedence over the method (RFC 9110). If they
    disagree, the call is not idempotent.
    """
    overrides = {
        one.idempotent for one in selectors if one.idempotent is not None
    }
    if overrides:
        return overrides == {True}
    return method in _IDEMPOTENT_METHODS
