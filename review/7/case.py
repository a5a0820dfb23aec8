"""A target leaves 3 s after an outage of the store; it still gets requests."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

from standins import DRAIN_S, STABLE_S, ZONES, Deployment, main, now_s

SERVICE = 'cat'
MIN_OUTAGE_S = 4.0
MAX_OUTAGE_S = 7.8
JUST_ASKED_S = 0.55
WATCHED_S = 4.0
ROUNDS = 4


def readers(deployment: Deployment, since_s: float) -> list[str]:
    """Return the VM of each zone that reads the registry most often."""
    counts = Counter(
        vm_name
        for at_s, vm_name, call in deployment.store.reads
        if at_s >= since_s and 'keyed.servers' in call
    )
    return [
        max(
            (vm.name for vm in deployment.vms if vm.zone == zone),
            key=lambda name: counts[name],
        )
        for zone in deployment.zones
    ]


def last_read_s(deployment: Deployment, vm_name: str) -> float:
    """Return when a VM last asked for the registry."""
    for at_s, name, call in reversed(deployment.store.reads):
        if name == vm_name and 'keyed.servers' in call:
            return at_s
    return 0


async def silence_store(deployment: Deployment) -> None:
    """Let the store answer nothing for 4 to 8 s.

    It comes back when each zone's reader has just asked in vain.
    """
    store = deployment.store
    reading = readers(deployment, now_s() - 4)
    begun_s = now_s()
    for name in store.mode:
        store.mode[name] = 'silent'
    deployment.record.add('store silent')
    while now_s() - begun_s < MAX_OUTAGE_S:
        await asyncio.sleep(0.01)
        ages_s = [now_s() - last_read_s(deployment, name) for name in reading]
        if now_s() - begun_s > MIN_OUTAGE_S and max(ages_s) < JUST_ASKED_S:
            break
    for name in store.mode:
        store.mode[name] = 'ok'
    lasted_s = now_s() - begun_s
    deployment.record.add('store back', lasted_s=round(lasted_s, 3))
    print(f'the store was silent for {lasted_s:.2f} s')


async def play_round(deployment: Deployment, number: int, trouble: bool) -> int:
    """Return how many requests reached targets too late."""
    if trouble:
        await silence_store(deployment)
    await asyncio.sleep(STABLE_S + 0.05)
    leaving = {}
    for zone in deployment.zones:
        targets = [one for one in deployment.targets if one.zone == zone]
        leaving[targets[number]] = targets[number].remove_entry()
        deployment.record.add('entry removed', target=targets[number].target_id)
    await asyncio.sleep(WATCHED_S)
    late_count = 0
    for target, confirmed_s in leaving.items():
        ages_s = [at_s - confirmed_s for at_s, _ in target.arrivals]
        late = [f'{age_s:.2f}' for age_s in ages_s if age_s > DRAIN_S]
        late_count += len(late)
        if late:
            print(
                f'round {number}: {target.target_id} in {target.zone}: {late}'
            )
    return late_count


async def case(trouble: bool) -> int:
    """Run the case; return its exit status."""
    deployment = Deployment(Path(__file__).resolve().parent, 2, list(ZONES))
    try:
        for zone in deployment.zones:
            for _ in range(ROUNDS + 2):
                await deployment.add_target(SERVICE, zone)
        deployment.configure(
            [deployment.route('r1', '/cat/', SERVICE)], [SERVICE]
        )
        await deployment.start()
        deployment.start_load('/cat/', 100)
        late_count = 0
        for number in range(ROUNDS):
            await asyncio.sleep(5)
            late_count = await play_round(deployment, number, trouble)
            if late_count:
                break
        statuses = Counter(status for _, _, status in deployment.answers)
        print(f'answers by status: {dict(statuses)}; late: {late_count}')
        deployment.record.add('result', late=late_count)
        return 1 if late_count else 0
    finally:
        await deployment.finish()


main(case)
