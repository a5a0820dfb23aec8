"""Positions in the store."""

from __future__ import annotations

MAX_ERA = 0x3FFFFF
"""Largest era of the store that can be part of a position."""
