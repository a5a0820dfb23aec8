"""The connections of waiting reads of the store go silent, then a new version."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from standins import (  # noqa: E402
    CONFIG_MS, STABLE_WINDOW_MS, Client, Fleet, Store, Target, configure,
    is_disturbed, now, route, run_case, send_steadily,
)

VMS = {'vm0': 'nasr', 'vm1': 'nasr', 'vm2': 'smouha', 'vm3': 'smouha'}
ZONES = ('nasr', 'smouha')
TRAFFIC_S = 14.0


async def scenario(record):
    store = Store()
    await store.start()
    fleet = Fleet(store, record)
    targets = {
        service: [
            Target(store, f'{service}{number}', record, ZONES[number % 2],
                   service=service)
            for number in range(6)
        ]
        for service in ('press', 'other')
    }
    unused = route('/b/', Service='other')
    try:
        for target in targets['press'] + targets['other']:
            await target.start()
        await configure(store, 1, route('/a/'), unused)
        for name, zone in VMS.items():
            await fleet.start(name, zone)
        if not await fleet.wait_ready(*VMS):
            return None
        await asyncio.sleep(3)
        traffic = [
            asyncio.ensure_future(
                send_steadily(Client(fleet, name, record), '/a/x', TRAFFIC_S)
            )
            for name in VMS
        ]
        await asyncio.sleep(1)
        await configure(store, 3, route('/a/', TimeoutMs=1400), unused)
        await asyncio.sleep(0.5)
        if is_disturbed():
            silent = store.silence_waiting_reads()
            record.line(f'{silent} connections to the store go silent')
        await asyncio.sleep(STABLE_WINDOW_MS / 1000 + 0.5)
        await configure(
            store, 4, route('/a/', TimeoutMs=1400, Service='other'), unused
        )
        confirmed_s = now()
        record.line('version 4 is confirmed: /a/ goes to the service other')
        sent = [one for part in await asyncio.gather(*traffic) for one in part]
        early = [status for sent_s, _, status in sent if sent_s < confirmed_s]
        if early.count(200) < len(early) / 2:
            return None
        bound_s = confirmed_s + CONFIG_MS / 1000
        sent_late = {request_id: sent_s for sent_s, request_id, _ in sent
                     if sent_s > bound_s}
        old = [run[1] for target in targets['press'] for run in target.runs
               if run[1] in sent_late]
        for request_id in old:
            after_s = sent_late[request_id] - confirmed_s
            record.line(f'{request_id}, sent {after_s:.2f} s after the '
                        'confirmation, was run by the old service')
        record.line(f'run by the old service: {len(old)} of {len(sent_late)} '
                    f'sent later than {CONFIG_MS} ms')
        return bool(old)
    finally:
        await fleet.close()


run_case(FOLDER, scenario)
