"""Operation key prefixes: an entry VM, its incarnation and a time.

A key that begins with a prefix is run by that incarnation of that VM only,
and only for the lifetime of a key from the time in the prefix on. The VM can
therefore forget a key once its lifetime is over.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

from xxhash import xxh3_64_hexdigest

from turmericpost_core.membership.vm_records import VmRecord

KEY_LIFETIME_S = 900

_MARK = 'tp'
_SEPARATOR = '-'
_PARTS = 5
_HEX = 16


@dataclass(frozen=True)
class KeyOwner:
    """Who runs a key: digest of the VM's name, incarnation, time issued."""

    vm_digest: str
    incarnation: int
    issued_s: int

    def is_owned_by(self, fact: VmRecord) -> bool:
        """Return whether this is the VM and incarnation of a fact."""
        if fact.incarnation != self.incarnation:
            return False
        return vm_digest(fact.identity.name) == self.vm_digest

    def is_expired(self, now_utc: datetime) -> bool:
        """Return whether the lifetime of the key is over."""
        return now_utc.timestamp() - self.issued_s > KEY_LIFETIME_S


def vm_digest(name: str) -> str:
    """Return the digest that stands for a VM name in keys."""
    return xxh3_64_hexdigest(name.encode('utf-8'))


def new_key_prefix(fact: VmRecord, now_utc: datetime) -> str:
    """Return a prefix for keys that only this incarnation runs."""
    parts = (
        _MARK,
        vm_digest(fact.identity.name),
        f'{fact.incarnation:x}',
        f'{int(now_utc.timestamp()):x}',
        '',
    )
    return _SEPARATOR.join(parts)


def parse_key_owner(key: str) -> KeyOwner | None:
    """Return the owner that a key names, ``None`` if its caller made it."""
    parts = key.split(_SEPARATOR, _PARTS - 1)
    if len(parts) != _PARTS or parts[0] != _MARK:
        return None
    _, digest, incarnation, issued, _ = parts
    try:
        numbers = int(incarnation, _HEX), int(issued, _HEX)
    except ValueError:
        return None
    return KeyOwner(digest, *numbers)
