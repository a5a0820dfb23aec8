"""What a bench run simulates: sizes, load, stragglers, delays."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Workload:
    """One service and its load; defaults are Egypt's catalogue.

    While it straggles, the first back end takes ``straggler_factor`` times
    as long, for ``straggler_share`` of each ``straggler_period_s``.
    """

    calls: int = 100_000
    load: float = 0.85
    backends: int = 13
    slots: int = 3
    mean_service_s: float = 0.012
    entry_vms: int = 19
    straggler_factor: float = 4
    straggler_share: float = 0.25
    straggler_period_s: float = 4
    backend_delay_s: float = 0
    vm_delay_s: float = 0.0015
    steering_error: float = 0.02
    seed: int = 1

    @property
    def rate_per_s(self) -> float:
        """Offered calls a second."""
        capacity = self.backends * self.slots / self.mean_service_s
        return capacity * self.load

    def is_straggling(self, backend: int, now_s: float) -> bool:
        """Return whether a back end is slow now."""
        if backend or self.straggler_factor == 1:
            return False
        phase = now_s % self.straggler_period_s
        return phase < self.straggler_share * self.straggler_period_s
