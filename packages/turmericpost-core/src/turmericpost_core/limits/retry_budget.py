"""Retry budget: retries stay a fixed share of the calls offered."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Share of offered calls that may be sent again, and the burst allowed."""

    retry_ratio: float
    burst_tokens: float


class RetryBudget:
    """Token bucket filled by offered calls and emptied by retries."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._tokens = settings.burst_tokens

    @property
    def has_token(self) -> bool:
        """Whether one more retry is allowed now."""
        return self._tokens >= 1

    def record_call(self) -> None:
        """Count one offered call."""
        filled = self._tokens + self._settings.retry_ratio
        self._tokens = min(filled, self._settings.burst_tokens)

    def spend(self) -> None:
        """Take the token of one retry; the caller checked ``has_token``."""
        self._tokens -= 1
