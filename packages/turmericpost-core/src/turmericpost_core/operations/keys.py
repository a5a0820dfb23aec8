"""Operation key prefixes, which identify an entry VM and a time of issue.

Only the incarnation of the VM that issued the prefix runs a key with it, and
only until ``KEY_LIFETIME_S`` seconds after the time of issue. The VM can
therefore forget a key once it has expired.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime

from xxhash import xxh3_64_hexdigest

from turmericpost_core.membership.vm_records import VmRecord

KEY_LIFETIME_S = 900

_PREFIX_TAG = 'tp'
_SEPARATOR = '-'
_PART_COUNT = 5
_HEX_BASE = 16


@dataclass(frozen=True)
class KeyOwner:
    """Entry VM incarnation that runs a key, and when it issued the prefix."""

    vm_digest: str
    incarnation: int
    issued_s: int

    def is_same_incarnation(self, record: VmRecord) -> bool:
        """Return whether the VM incarnation of ``record`` is this owner."""
        if record.incarnation != self.incarnation:
            return False
        return vm_digest(record.identity.name) == self.vm_digest

    def is_expired(self, now_utc: datetime) -> bool:
        """Return whether the key has expired."""
        return now_utc.timestamp() - self.issued_s > KEY_LIFETIME_S


def vm_digest(name: str) -> str:
    """Return the digest that represents a VM name in key prefixes."""
    return xxh3_64_hexdigest(name.encode('utf-8'))


def new_key_prefix(record: VmRecord, now_utc: datetime) -> str:
    """Return a new prefix for keys that only this VM incarnation runs."""
    parts = (
        _PREFIX_TAG,
        vm_digest(record.identity.name),
        f'{record.incarnation:x}',
        f'{int(now_utc.timestamp()):x}',
        '',
    )
    return _SEPARATOR.join(parts)


def parse_key_owner(key: str) -> KeyOwner | None:
    """Return the owner named by a key, ``None`` for a key without prefix."""
    parts = key.split(_SEPARATOR, _PART_COUNT - 1)
    if len(parts) != _PART_COUNT or parts[0] != _PREFIX_TAG:
        return None
    _, digest, incarnation, issued, _ = parts
    try:
        numbers = int(incarnation, _HEX_BASE), int(issued, _HEX_BASE)
    except ValueError:
        return None
    return KeyOwner(digest, *numbers)
