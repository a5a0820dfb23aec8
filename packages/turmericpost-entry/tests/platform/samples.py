"""Sample registration of a backend server."""

from __future__ import annotations

ENTRY = {
    'Service': 'press',
    'Address': '10.0.0.9:8080',
    'Zone': 'nasr',
    'Version': 'v1',
    'Slots': 3,
    'State': 'ready',
    'WarmupLeftMs': 0,
    'Seq': 1,
    'born': 12,
}
