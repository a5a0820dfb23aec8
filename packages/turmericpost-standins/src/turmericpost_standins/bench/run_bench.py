"""Run policies on the same workload and compare their tails."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from random import Random
from types import MappingProxyType
from typing import TypeAlias

from hdrh.histogram import HdrHistogram

from turmericpost_standins.bench.event_loop import EventLoop
from turmericpost_standins.bench.owners_policy import OwnersPolicy
from turmericpost_standins.bench.policies import (
    CentralQueue,
    LeastInFlight,
    Policy,
    RandomChoice,
    RoundRobin,
)
from turmericpost_standins.bench.sim_backend import SimBackend
from turmericpost_standins.bench.workload import Workload

IDEAL = 'central queue'
POWER_OF_TWO = 'power of two'
OWNERS = 'owners'

_HIGHEST_US = 600_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_WARM_UP_SHARE = 0.05


@dataclass(frozen=True)
class BenchResult:
    """Latencies of one policy, and how often VMs sent calls to VMs."""

    name: str
    latency_us: HdrHistogram
    hops_per_call: float
    most_in_flight: int

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        found_us = self.latency_us.get_value_at_percentile(percentile)
        return float(found_us) / _US_PER_MS


@dataclass(frozen=True)
class _Bench:
    workload: Workload
    loop: EventLoop
    backends: list[SimBackend]
    random: Random


_PolicyFactory: TypeAlias = Callable[[_Bench, int], Policy]


def run_policy(
    name: str,
    workload: Workload,
    owners_per_service: int = 4,
) -> BenchResult:
    """Run one policy; the arrivals depend on the workload's seed only."""
    loop = EventLoop()
    service_random = Random(workload.seed + 1)
    backends = [
        SimBackend(number, workload, loop, service_random)
        for number in range(workload.backends)
    ]
    bench = _Bench(workload, loop, backends, Random(workload.seed + 2))
    policy = _POLICIES[name](bench, owners_per_service)
    latency_us = HdrHistogram(1, _HIGHEST_US, _DIGITS)
    _schedule(bench, policy, latency_us)
    loop.run()
    hops = 0
    if isinstance(policy, OwnersPolicy):
        hops = policy.offers + policy.passes
    return BenchResult(
        name,
        latency_us,
        hops / workload.calls,
        max(backend.most_in_flight for backend in backends),
    )


def run_all(
    workload: Workload,
    owners_per_service: int = 4,
) -> Iterator[BenchResult]:
    """Run every policy on the same arrivals."""
    for name in _POLICIES:
        yield run_policy(name, workload, owners_per_service)


def _schedule(
    bench: _Bench,
    policy: Policy,
    latency_us: HdrHistogram,
) -> None:
    arrivals = Random(bench.workload.seed)
    loop = bench.loop
    warm_up = bench.workload.calls * _WARM_UP_SHARE

    def arrive(number: int) -> None:  # noqa: WPS430
        begun_s = loop.now_s

        def done() -> None:  # noqa: WPS430
            if number >= warm_up:
                took_us = int((loop.now_s - begun_s) * _US_PER_S)
                latency_us.record_value(took_us)

        policy.submit(done)
        if number + 1 < bench.workload.calls:
            gap_s = arrivals.expovariate(bench.workload.rate_per_s)
            loop.after(gap_s, lambda: arrive(number + 1))

    loop.at(0, lambda: arrive(0))


_POLICIES: Mapping[str, _PolicyFactory] = MappingProxyType(
    {
        'random': lambda bench, _: RandomChoice(bench.backends, bench.random),
        'round robin': lambda bench, _: RoundRobin(
            bench.backends,
            bench.random,
            bench.workload.entry_vms,
        ),
        'least in flight': lambda bench, _: LeastInFlight(
            bench.backends,
            bench.random,
            bench.workload.entry_vms,
        ),
        POWER_OF_TWO: lambda bench, _: LeastInFlight(
            bench.backends,
            bench.random,
            bench.workload.entry_vms,
            choices=2,
        ),
        OWNERS: lambda bench, owners_per_service: OwnersPolicy(
            bench.backends,
            bench.workload,
            bench.loop,
            bench.random,
            owners_per_service,
        ),
        IDEAL: lambda bench, _: CentralQueue(
            bench.backends,
            bench.workload,
            bench.loop,
        ),
    }
)
