"""A route of short calls is added to a service that also has long calls."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

from standins import ZONES, Deployment, main, now_s

CONFIG_S = 2.0
MIN_REQUESTS = 20
MIN_RATIO = 0.25
WORK_S = {'/archive/': 1.2, '/lookup/': 0.08}


def statuses(
    deployment: Deployment, prefix: str, since_s: float
) -> Counter[int]:
    """Count the answers to requests with a path that were sent since a time."""
    return Counter(
        status
        for sent_s, path, status in deployment.answers
        if path.startswith(prefix) and sent_s > since_s
    )


def served_share(counts: Counter[int]) -> float:
    """Return the share of the answers that are successes."""
    return counts[200] / max(sum(counts.values()), 1)


async def case(trouble: bool) -> int:
    """Run the case; return its exit status."""
    deployment = Deployment(Path(__file__).resolve().parent, 2, list(ZONES))
    try:
        for zone in deployment.zones:
            for _ in range(2):
                await deployment.add_target('verses', zone, work_by_path=WORK_S)
            await deployment.add_target('notices', zone, work_by_path=WORK_S)
        services = ['verses', 'notices']
        archive = deployment.route(
            'r-archive',
            '/archive/',
            'verses',
            TimeoutMs=6000,
            SloLatencyMs=3000,
        )
        deployment.configure([archive], services)
        await deployment.start()
        deployment.start_load('/archive/', 8, deadline_s=6.0)
        await asyncio.sleep(30)
        lookup = deployment.route(
            'r-lookup',
            '/lookup/',
            'verses' if trouble else 'notices',
            TimeoutMs=1000,
            SloLatencyMs=400,
        )
        confirmed_s = deployment.configure([archive, lookup], services)
        deployment.record.add('route added', service=lookup['Service'])
        since_s = confirmed_s + CONFIG_S + 1
        await asyncio.sleep(since_s - now_s())
        deployment.start_load('/lookup/', 20, deadline_s=1.0)
        await asyncio.sleep(15)
        first = statuses(deployment, '/archive/', since_s)
        added = statuses(deployment, '/lookup/', since_s)
        running = [target.running for target in deployment.targets]
        print(f'first route: {dict(first)}; added route: {dict(added)}')
        print(f'requests running at the targets, of 4 slots each: {running}')
        deployment.record.add(
            'result', first=dict(first), added=dict(added), running=running
        )
        if sum(added.values()) < MIN_REQUESTS:
            return 2
        return 1 if served_share(added) < MIN_RATIO * served_share(first) else 0
    finally:
        await deployment.finish()


main(case)
