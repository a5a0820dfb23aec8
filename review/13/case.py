"""Targets that do not tell their load become cold again while warm.

Counts what reaches each cold target within a second, from all VMs (rule
FAILBACK). A cold target crashes at three times the rate that it tolerates, and
loses what it is working on.
"""

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib-3'))

from world import (  # noqa: E402
    TARGET, Clients, Target, World, abort, in_trouble, now, route, run,
    service, temporary_folder)

WARMUP_PER_S = 9
WARMUP_S = 3.0
COLD_OVER = 1.5
COLD_SLACK = 5
BOUND = WARMUP_PER_S * COLD_OVER + COLD_SLACK
CRASH_PER_S = 3 * WARMUP_PER_S
WORK_S = 0.045
PLAY_S = 50
CALLS_PER_S_AND_ZONE = 50


class Brittle(Target):
    """A target that crashes when it gets far too much while it is cold."""

    crashes = ()

    async def _handle(self, request, body, writer):
        moment = now()
        if ' /health ' not in request[0] and moment < self.cold_until:
            recent = sum(at > moment - 1 and at >= self.colds[-1][0]
                         for at, _ in self.arrivals[-60:])
            if recent + 1 > CRASH_PER_S:
                self.arrivals.append(
                    (moment, request[1].get('x-request-id', '')))
                asyncio.get_running_loop().call_soon(self._crash)
                raise ConnectionError
        await super()._handle(request, body, writer)

    def _crash(self):
        if self.crashes and now() - self.crashes[-1] < 1.5:
            return
        self.crashes = (*self.crashes, now())
        self.world.note(f'{self.identity} crashes, {self.running} running')
        self.server.close()
        for writer in tuple(self.writers):
            abort(writer)
        self.is_registered = False
        asyncio.create_task(self._start_again())

    async def _start_again(self):
        await asyncio.sleep(1.5)
        self.server = await asyncio.start_server(
            self._serve, self.host, TARGET)
        self.born = int(time.time() * 1000)
        self.said = None
        self.become_cold(WARMUP_S)
        self.is_registered = True
        self.register()


async def main():
    with temporary_folder() as folder:
        world = World({'mtl-est': 'montreal', 'mtl-ouest': 'montreal'}, folder)
        try:
            return await play(world)
        finally:
            world.close()


async def play(world):
    world.add_vms(2)
    await world.open()
    world.configure(
        7, [service('reservations', WarmupPerS=WARMUP_PER_S,
                    WarmupS=WARMUP_S)],
        [route('slot-booking', 'reservations', RouteType='non_idempotent',
               TimeoutMs=1000, SloLatencyMs=300, Priority=1)])
    for zone in world.zones:
        await world.add_target(f'i-{zone}-0', 'reservations', zone,
                               kind=Brittle, work_s=WORK_S,
                               tells_load=False)
    world.start_vms()
    if not await world.wait_ready():
        return 2
    await asyncio.sleep(4)
    until = now() + PLAY_S
    clients = [
        asyncio.create_task(
            Clients(world, zone, method='POST', deadline_ms=1000,
                    body=b'b' * 4000).run(CALLS_PER_S_AND_ZONE, until))
        for zone in world.zones]
    await asyncio.sleep(6)
    while now() < until - 6:
        if in_trouble():
            for target in world.targets:
                if not target.is_registered or now() < target.cold_until:
                    continue
                target.become_cold(WARMUP_S)
                world.note(f'{target.identity} becomes cold again')
        await asyncio.sleep(6 + random.random())
    await asyncio.gather(*clients)
    return judge(world)


def most_in_a_second(moments):
    most, oldest = 0, 0
    for index, moment in enumerate(moments):
        while moments[oldest] < moment - 1:
            oldest += 1
        most = max(most, index - oldest + 1)
    return most


def judge(world):
    sent_s = {call['id']: call['sent_s'] for call in world.calls}
    statuses = {call['id']: call['status'] for call in world.calls}
    lines, worst, lost = [], 0, 0
    for target in world.targets:
        for begun_s, end_s in target.colds:
            moments = [at for at, call_id in target.arrivals
                       if begun_s <= at < end_s
                       and sent_s.get(call_id, 0) >= begun_s]
            most = most_in_a_second(moments)
            worst = max(worst, most)
            lines.append(f'{target.identity} cold from {world.at(begun_s)} '
                         f'to {world.at(end_s)}: at most {most} in a second')
        for crash_s in target.crashes:
            lost += sum(crash_s - 0.2 < at <= crash_s
                        and statuses.get(call_id) == 502
                        for at, call_id in target.runs)
    for line in lines:
        print(line, flush=True)
    world.note(f'statuses: {Counter(str(c["status"]) for c in world.calls)}')
    world.note(f'bookings that a crash cut off while they ran: {lost}')
    world.note(f'most requests to a cold target in a second: {worst}, '
               f'bound {BOUND}')
    world.write_record(HERE / 'record.txt', lines)
    return int(worst > BOUND)


run(main)
