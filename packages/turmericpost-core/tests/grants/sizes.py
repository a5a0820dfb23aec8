"""Number of VMs and of parts of a simulated failure domain."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

SMALL_VMS = 3
SMALL_PARTS = 2
MAX_VMS = 40


@dataclass(frozen=True)
class DomainSize:
    """Size of a domain and the greatest number of parts of it."""

    vms: int
    parts: int


def draw_size(seed: int) -> DomainSize:
    """Return three VMs in two parts for half of the seeds, else any size.

    The other draws of a seed do not depend on this one.
    """
    random = Random(f'size {seed}')
    if random.choice((True, False)):
        return DomainSize(SMALL_VMS, SMALL_PARTS)
    max_vms = random.choice((2 * SMALL_VMS, MAX_VMS))
    vms = random.randint(SMALL_VMS, max_vms)
    return DomainSize(vms, random.randint(SMALL_PARTS, vms))
