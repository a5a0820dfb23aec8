"""One VM loses its path to the store for some seconds, others do not.

Soon after it has read the registry again, a target is removed from there without
having reported that it drains. Counts the requests that VMs in touch send to it later than
DrainMs after the store has accepted the removal (rule DRAIN).
"""

import asyncio
import random
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

from world import (  # noqa: E402
    Clients, World, in_trouble, now, route, run, service, temporary_folder)

DRAIN_S = 2.0
CUT_S = (2.5, 4.0)
TARGETS = 8
ROUNDS = 12
CALLS_PER_S = 60


async def main():
    with temporary_folder() as folder:
        world = World({'mtl-est': 'montreal'}, folder)
        try:
            return await play(world)
        finally:
            world.close()


async def next_read(world, name):
    """Wait until a VM has read the registry once more."""
    begun_s = now()
    while now() < begun_s + 2 and not any(
            at > begun_s and vm == name and topic == 'keyed.servers'
            for at, vm, topic in world.store.reads[-60:]):
        await asyncio.sleep(0.01)


async def play(world):
    world.add_vms(4)
    await world.open()
    world.configure(7, [service('fenetres')],
                    [route('slot-lookup', 'fenetres')])
    for index in range(TARGETS):
        await world.add_target(f'i-{index}', 'fenetres', 'mtl-est',
                               work_s=0.05)
    world.start_vms()
    if not await world.wait_ready():
        return 2
    await asyncio.sleep(3)
    until = now() + ROUNDS * 7.5 + 3
    clients = asyncio.create_task(
        Clients(world, 'mtl-est').run(CALLS_PER_S, until))
    await asyncio.sleep(3)
    lines, late = [], 0
    for number in range(ROUNDS):
        reader = [name for _, name, topic in world.store.reads
                  if topic == 'keyed.servers'][-1]
        if in_trouble():
            world.store.silence_door(reader)
            world.note(f'{reader} is cut from the store')
        await asyncio.sleep(random.uniform(*CUT_S))
        if in_trouble():
            world.store.end_silence(reader)
            world.note(f'{reader} reaches the store again')
        await next_read(world, reader)
        leaver = next(t for t in world.targets if t.is_registered)
        accepted_s = leaver.unregister()
        world.note(f'the store has accepted the removal of {leaver.identity}')
        await asyncio.sleep(2.8)
        vms = {call['id']: call['vm'] for call in world.calls}
        after_s = [at - accepted_s for at, call_id in leaver.arrivals
                   if vms[call_id] != reader]
        over = sum(one > DRAIN_S for one in after_s)
        late += over
        lines.append(f'{leaver.identity}: last request by a VM in touch '
                     f'{max(after_s, default=0):.3f} s after its removal, '
                     f'{over} late')
        print(lines[-1], flush=True)
        leaver.stop()
        await world.add_target(f'i-{number + TARGETS}', 'fenetres',
                               'mtl-est', work_s=0.05, cold_s=3.0)
        await asyncio.sleep(0.4)
    await clients
    world.note(f'statuses: {Counter(str(c["status"]) for c in world.calls)}')
    world.note(f'{late} requests reached a target later than {DRAIN_S} s')
    world.write_record(HERE / 'record.txt', lines)
    return int(bool(late))


run(main)
