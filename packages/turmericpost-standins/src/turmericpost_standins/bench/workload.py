"""Parameters of a simulated benchmark run."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Workload:
    """One simulated service, its backend servers and its load.

    ``load`` is the offered load as a share of the capacity of all backend
    servers. During the first ``straggler_share`` of each
    ``straggler_period_s``, the first backend server takes
    ``straggler_factor`` times as long per call. ``random_vm_share`` of the
    calls go to a random entry VM instead of an owner of the service.
    The defaults model the ``catalogue`` service of the Egypt deployment.
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
    random_vm_share: float = 0.02
    seed: int = 1

    @property
    def rate_per_s(self) -> float:
        """Offered load in calls per second."""
        capacity = self.backends * self.slots / self.mean_service_s
        return capacity * self.load

    def is_straggling(self, backend: int, now_s: float) -> bool:
        """Return whether a backend server is in its slow phase at ``now_s``."""
        if backend or self.straggler_factor == 1:
            return False
        phase = now_s % self.straggler_period_s
        return phase < self.straggler_share * self.straggler_period_s
