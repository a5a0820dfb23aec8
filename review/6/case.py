"""Many versions of a large configuration come over slow links."""

from __future__ import annotations

import asyncio
import os
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))

from standins import ZONES, Deployment, main, now_s

CONFIG_S = 3.0
GROWN_BOUNDS = {
    'AckMs': '5000',
    'CatchUpS': '6',
    'DrainMs': '3000',
    'ConfigMs': '3000',
    'RetryBudgetSlack': '216',
    'ColdSlack': '8',
}
SLACK_S = 0.3
LINK_MBPS = float(os.environ.get('LINK_MBPS', '5'))
IDLE_ROUTES = 980
VERSIONS = 25
GAP_S = 0.08
WATCHED_S = 20.0
OLD = 'old'
NEW = 'new'


async def case(trouble: bool) -> int:
    """Run the case; return its exit status."""
    deployment = Deployment(Path(__file__).resolve().parent, 2, list(ZONES))
    try:
        for zone in deployment.zones:
            await deployment.add_target(OLD, zone)
            await deployment.add_target(NEW, zone)
        idle = [
            deployment.route(
                f'r-idle-{number:05d}',
                f'/idle{number:05d}/part/',
                OLD,
                Host=f'host{number % 40}.example',
            )
            for number in range(IDLE_ROUTES)
        ]

        def publish(service: str) -> float:
            moved = deployment.route('r-cat', '/cat/', service)
            return deployment.configure([moved, *idle], [OLD, NEW])

        publish(OLD)
        deployment.store.link_mbps = LINK_MBPS
        deployment.bounds = GROWN_BOUNDS
        await deployment.start()
        deployment.start_load('/cat/', 60)
        await asyncio.sleep(4)
        for _ in range(VERSIONS - 1 if trouble else 0):
            publish(OLD)
            await asyncio.sleep(GAP_S)
        confirmed_s = publish(NEW)
        deployment.record.add('last version confirmed')
        await asyncio.sleep(WATCHED_S)
        # Requests that were sent in time may arrive within the slack.
        late = [
            at_s - confirmed_s
            for target in deployment.targets
            if target.service == OLD
            for at_s, _ in target.arrivals
            if at_s - confirmed_s > CONFIG_S + SLACK_S
        ]
        statuses = Counter(status for _, _, status in deployment.answers)
        print(
            f'{len(late)} requests run by the old service too late, the last '
            f'{max(late, default=0):.1f} s after the confirmation'
        )
        print(f'answers by status: {dict(statuses)}')
        deployment.record.add('result', late=len(late), now_s=now_s())
        return 1 if late else 0
    finally:
        await deployment.finish()


main(case)
