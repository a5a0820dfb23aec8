"""Match selectors with requests and labels with labels."""

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
    """Return whether the selector is about this request."""
    if selector.service not in {None, facts.service}:
        return False
    if selector.methods and facts.method not in selector.methods:
        return False
    if not under_prefix(facts.path, selector.path_prefix):
        return False
    return has_labels(account.labels, selector.account_labels)


def under_prefix(path: str, prefix: str) -> bool:
    """Return whether a path is the prefix or lies below it by segments."""
    stem = prefix.rstrip('/')
    if not path.startswith(stem):
        return False
    rest = path.removeprefix(stem)
    return not rest or rest.startswith('/')


def has_labels(labels: Mapping[str, str], wanted: Mapping[str, str]) -> bool:
    """Return whether every wanted label is there with its value."""
    return all(labels.get(name) == text for name, text in wanted.items())


def permits(
    selector: Selector,
    backend: BackendServer,
    domain: FailureDomain,
) -> bool:
    """Return whether a matching selector leaves the backend server in."""
    if not (selector.backend_labels or selector.failure_domain_labels):
        return True
    named = has_labels(backend.labels, selector.backend_labels)
    named = named and has_labels(domain.labels, selector.failure_domain_labels)
    return named if selector.effect is Effect.ALLOW else not named


def is_idempotent(method: str, selectors: tuple[Selector, ...]) -> bool:
    """Return whether a call may run twice: RFC 9110 unless selectors say.

    Where matching selectors disagree the call is not idempotent.
    """
    said = {one.idempotent for one in selectors if one.idempotent is not None}
    if said:
        return said == {True}
    return method in _IDEMPOTENT_METHODS
