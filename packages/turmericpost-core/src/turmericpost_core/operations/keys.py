"""Operation key prefixes, which name an entry VM and its incarnation."""

from __future__ import annotations

from xxhash import xxh3_64_hexdigest

from turmericpost_core.membership.facts import VmFact

_SEPARATOR = '-'


def key_prefix(fact: VmFact) -> str:
    """Return the prefix of the keys that only this incarnation runs."""
    return vm_key_prefix(fact.identity.name, fact.incarnation)


def vm_key_prefix(name: str, incarnation: int) -> str:
    """Return the prefix for a VM name and an incarnation."""
    digest = xxh3_64_hexdigest(name.encode('utf-8'))
    return f'tp{_SEPARATOR}{digest}{_SEPARATOR}{incarnation:x}{_SEPARATOR}'
