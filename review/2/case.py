"""An entry of another writer that can't be read, then a release of a service."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from standins import (  # noqa: E402
    DRAIN_MS, Client, Fleet, Store, Target, configure, is_disturbed, now,
    route, run_case, send_steadily,
)

VMS = {'vm0': 'nasr', 'vm1': 'nasr', 'vm2': 'smouha', 'vm3': 'smouha'}
ZONES = ('nasr', 'smouha')
FOREIGN_ENTRY = b'[' * 20_000
SERVES_ON_S = 4.0
TRAFFIC_S = 20.0
LAST_S = 3.0


async def replace(old, new, confirmed):
    """Replace one target: the new one starts, the old one drains and leaves."""
    await new.start()
    await asyncio.sleep(1)
    confirmed[old.name] = await old.drain()
    await asyncio.sleep(SERVES_ON_S)
    await old.leave()


async def scenario(record):
    store = Store()
    await store.start()
    fleet = Fleet(store, record)
    targets = [
        Target(store, f'old{number}', record, ZONES[number % 2])
        for number in range(6)
    ]
    replacements = [
        Target(store, f'new{number}', record, ZONES[number % 2])
        for number in range(6)
    ]
    confirmed = {}
    try:
        for target in targets:
            await target.start()
        await configure(store, 1, route('/a/'))
        for name, zone in VMS.items():
            await fleet.start(name, zone)
        if not await fleet.wait_ready(*VMS):
            return None
        await asyncio.sleep(2)
        traffic = [
            asyncio.ensure_future(
                send_steadily(Client(fleet, name, record), '/a/x', TRAFFIC_S)
            )
            for name in VMS
        ]
        traffic_begun_s = now()
        await asyncio.sleep(2)
        if is_disturbed():
            record.line('another writer adds servers/x-1, 20000 times "["')
            await store.put('keyed.servers', 'x-1', FOREIGN_ENTRY)
        await asyncio.sleep(3.5)
        release = []
        for pair in zip(targets, replacements):
            release.append(asyncio.ensure_future(replace(*pair, confirmed)))
            await asyncio.sleep(0.5)
        await asyncio.gather(*release)
        sent = [one for part in await asyncio.gather(*traffic) for one in part]
        errors = sum('RecursionError' in line
                     for name in VMS for line in fleet.log(name).splitlines())
        record.line(f'log lines with RecursionError: {errors}')
        early = [status for sent_s, _, status in sent
                 if sent_s < traffic_begun_s + 2]
        last = [status for sent_s, _, status in sent
                if sent_s > traffic_begun_s + TRAFFIC_S - LAST_S]
        record.line(f'served before the entry: {early.count(200)} of '
                    f'{len(early)}; in the last {LAST_S:.0f} s: '
                    f'{last.count(200)} of {len(last)}')
        if early.count(200) < len(early) / 2:
            return None
        late = [
            (run[0] - confirmed[target.name], run[1], target.name)
            for target in targets for run in target.runs
            if run[0] > confirmed[target.name] + DRAIN_MS / 1000
        ]
        for after_s, request_id, name in late:
            record.line(f'{request_id} reached {name} '
                        f'{after_s:.2f} s after the confirmation')
        record.line(f'late at draining targets: {len(late)}')
        return bool(late)
    finally:
        await fleet.close()


run_case(FOLDER, scenario)
