"""Record of the steps of one call, in order, for its log line."""

from __future__ import annotations

from turmericpost_core.clock import Clock

MAX_STEPS = 24
"""Maximum number of steps recorded for a call: four attempts with their permit
requests and denials."""

_MS_PER_S = 1000


class Trail:
    """Steps of a call, each with the milliseconds since the call arrived."""

    def __init__(self, clock: Clock, arrived_s: float) -> None:
        self._clock = clock
        self._arrived_s = arrived_s
        self._steps: list[dict[str, object]] = []

    def add(self, step: str, **inputs: object) -> None:
        """Record a step, with the values that led to it as log fields.

        Steps beyond ``MAX_STEPS`` are dropped.
        """
        if len(self._steps) < MAX_STEPS:
            self._steps.append({'ms': self.age_ms(), 'step': step, **inputs})

    def age_ms(self) -> int:
        """Return the age of the call in milliseconds."""
        age_s = self._clock.monotonic_s() - self._arrived_s
        return round(age_s * _MS_PER_S)

    def steps(self) -> list[dict[str, object]]:
        """Return the steps so far."""
        return self._steps
