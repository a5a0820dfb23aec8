"""Message between entry VMs about a configuration that the store may lack."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeldConfig:
    """Version in force on the sender that the store may have lost."""

    sender: str
    version: int
