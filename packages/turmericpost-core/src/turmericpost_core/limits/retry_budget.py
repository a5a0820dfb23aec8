"""Retry budget that limits retries to a fixed share of the calls."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class RetryBudgetSettings:
    """Number of retries allowed per call, and the size of the token bucket."""

    retry_ratio: float
    burst_tokens: float


class RetryBudget:
    """Token bucket that calls fill and retries empty."""

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._tokens = settings.burst_tokens

    @property
    def has_token(self) -> bool:
        """Whether one more retry is allowed now."""
        return self._tokens >= 1

    def record_call(self) -> None:
        """Add the tokens of one call."""
        refilled = self._tokens + self._settings.retry_ratio
        self._tokens = min(refilled, self._settings.burst_tokens)

    def spend(self) -> None:
        """Take the token of one retry; check ``has_token`` first."""
        self._tokens -= 1
