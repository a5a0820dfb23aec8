"""Runs load-balancing policies on the same simulated workload."""

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

CENTRAL_QUEUE = 'central queue'
POWER_OF_TWO = 'power of two'
OWNERS = 'owners'

_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_WARM_UP_SHARE = 0.05


@dataclass(frozen=True)
class BenchResult:
    """Result of one policy.

    ``hops_per_call`` is the mean number of times that an entry VM relayed or
    offered a call to another. ``most_in_flight`` is the maximum number of
    calls in flight at any one backend server.
    """

    name: str
    latency_us: HdrHistogram
    hops_per_call: float
    most_in_flight: int

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile in milliseconds."""
        latency_at_percentile_us = self.latency_us.get_value_at_percentile(
            percentile
        )
        return float(latency_at_percentile_us) / _US_PER_MS


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
    """Simulate a workload under one policy.

    The arrival times depend only on the seed of the workload, so that every
    policy gets the same arrivals.
    """
    loop = EventLoop()
    service_random = Random(workload.seed + 1)
    backends = [
        SimBackend(number, workload, loop, service_random)
        for number in range(workload.backends)
    ]
    bench = _Bench(workload, loop, backends, Random(workload.seed + 2))
    policy = _POLICIES[name](bench, owners_per_service)
    latency_us = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    _schedule_arrivals(bench, policy, latency_us)
    loop.run()
    hops = 0
    if isinstance(policy, OwnersPolicy):
        hops = policy.offers + policy.relays
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
    """Yield the result of each policy on the same arrivals."""
    for name in _POLICIES:
        yield run_policy(name, workload, owners_per_service)


def _schedule_arrivals(
    bench: _Bench,
    policy: Policy,
    latency_us: HdrHistogram,
) -> None:
    arrival_random = Random(bench.workload.seed)
    loop = bench.loop
    warm_up = bench.workload.calls * _WARM_UP_SHARE

    def arrive(number: int) -> None:  # noqa: WPS430
        begun_s = loop.now_s

        def on_done() -> None:  # noqa: WPS430
            if number >= warm_up:
                elapsed_us = int((loop.now_s - begun_s) * _US_PER_S)
                latency_us.record_value(elapsed_us)

        policy.submit(on_done)
        if number + 1 < bench.workload.calls:
            gap_s = arrival_random.expovariate(bench.workload.rate_per_s)
            loop.call_later(gap_s, lambda: arrive(number + 1))

    loop.call_at(0, lambda: arrive(0))


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
        CENTRAL_QUEUE: lambda bench, _: CentralQueue(
            bench.backends,
            bench.workload,
            bench.loop,
        ),
    }
)
