"""Entry VMs with the store's and the servers' stand-ins, over sockets."""

from __future__ import annotations

import json
import unittest
from typing import Any

from twisted.internet.defer import Deferred

from tests.gateway.fleet_harness import DRAIN_S, Fleet, route

_ORDER = route('/order/', RouteType='non_idempotent')


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()

    def test_call_is_served_and_foreign_paths_are_not_there(self) -> None:
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

        async def steps() -> tuple[Any, Any]:
            await self.fleet.ready()
            return await self.fleet.call(), await self.fleet.call(path='/z/')

        served, unknown = self.fleet.run(steps)
        self.assertEqual(served.status, 200)
        self.assertEqual(served.body, b'run 1 of b1')
        self.assertEqual(unknown.status, 404)

    def test_vm_without_a_configuration_answers_503(self) -> None:
        answer = self.fleet.run(self.fleet.call)
        self.assertEqual(answer.status, 503)

    def test_answers_name_ready_vms_of_the_callers_domain(self) -> None:
        self.fleet.configure(1, route('/a/'))

        async def steps() -> Any:
            await self.fleet.ready()
            await self.fleet.pause(2.5)
            return [
                await self.fleet.ask(
                    0,
                    f'/-/resolve?Name=a.example&Region=r&Zone={zone}',
                )
                for zone in ('nasr', 'smouha')
            ]

        near, far = (json.loads(one.body) for one in self.fleet.run(steps))
        self.assertTrue(near['Addresses'][0].startswith('127.0.0.11:'))
        self.assertTrue(far['Addresses'][0].startswith('127.0.0.12:'))

    def test_drained_server_gets_nothing_within_the_bound(self) -> None:
        self.fleet.configure(1, route('/a/'))
        leaving = self.fleet.add_backend('b1')
        self.fleet.add_backend('b2')

        async def steps() -> int:
            await self.fleet.ready()
            leaving.faults.is_draining = True
            self.fleet.register('b1')
            await self.fleet.pause(DRAIN_S)
            before = len(leaving.runs)
            for _ in range(10):
                await self.fleet.call(vm=0)
                await self.fleet.call(vm=1)
            return len(leaving.runs) - before

        self.assertEqual(self.fleet.run(steps), 0)

    def test_evacuated_domain_gets_nothing_until_taken_back(self) -> None:
        self.fleet.configure(1, route('/a/'))
        near = self.fleet.add_backend('b1', 'nasr')
        far = self.fleet.add_backend('b2', 'smouha')

        async def steps() -> tuple[int, int, int]:
            await self.fleet.ready()
            self.fleet.store.put_keyed('keyed.op', 'evacuate/nasr', b'{}')
            await self.fleet.pause(1)
            answer = await self.fleet.call(vm=0)
            during = len(near.runs)
            self.fleet.store.put_keyed('keyed.op', 'evacuate/nasr', b'')
            await self.fleet.pause(1)
            await self.fleet.call(vm=0)
            return answer.status, during, len(near.runs)

        status, during, after = self.fleet.run(steps)
        self.assertEqual((status, during, after), (200, 0, 1))
        self.assertEqual(len(far.runs), 1)

    def test_vm_the_store_turns_away_learns_from_its_peers(self) -> None:
        fleet = Fleet(vms=4)
        fleet.configure(1, route('/a/'))
        fleet.add_backend('b1')

        async def steps() -> bool:
            await fleet.ready()
            await fleet.pause(2.5)
            fleet.nodes[0].state_sync.reader.stop()
            fleet.configure(5, route('/a/'), route('/b/'))
            return await fleet.until(
                lambda: all(
                    node.state.config.version == 5 for node in fleet.nodes
                ),
                2,
            )

        self.assertTrue(fleet.run(steps))

    def test_calls_go_on_while_the_store_is_away(self) -> None:
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

        async def steps() -> list[int]:
            await self.fleet.ready()
            self.fleet.store.faults.is_down = True
            await self.fleet.pause(1.5)
            answers = [await self.fleet.call() for _ in range(3)]
            return [one.status for one in answers]

        self.assertEqual(self.fleet.run(steps), [200, 200, 200])

    def test_history_that_is_gone_is_listed_anew(self) -> None:
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

        async def steps() -> bool:
            await self.fleet.ready()
            self.fleet.add_backend('b2')
            self.fleet.unregister('b1')
            self.fleet.store.compact('keyed.servers')
            return await self.fleet.until(
                lambda: all(
                    set(node.state.directory.backends) == {'b2'}
                    for node in self.fleet.nodes
                ),
                5,
            )

        self.assertTrue(self.fleet.run(steps))

    def test_lost_answer_of_an_order_is_never_run_again(self) -> None:
        self.fleet.configure(1, _ORDER)
        servers = [self.fleet.add_backend(f'b{one}') for one in range(2)]

        async def steps() -> Any:
            await self.fleet.ready()
            for one in servers:
                one.faults.lose_answers = 1
            return await self.fleet.call(0, '/order/1', 'POST', b'cards')

        answer = self.fleet.run(steps)
        self.assertEqual(answer.status, 502)
        runs = [run for one in servers for run in one.runs]
        self.assertEqual([run.body for run in runs], [b'cards'])

    def test_address_of_another_server_runs_nothing(self) -> None:
        self.fleet.configure(1, _ORDER)
        other = self.fleet.add_backend('b1')

        async def steps() -> Any:
            await self.fleet.ready()
            entry = other.encode_registration(self.fleet.addresses['b1'])
            self.fleet.store.put_keyed('keyed.servers', 'b9', entry)
            self.fleet.unregister('b1')
            directory = self.fleet.nodes[0].state.directory
            await self.fleet.until(lambda: 'b9' in directory.backends, 3)
            return await self.fleet.call(0, '/order/1', 'POST', b'cards')

        answer = self.fleet.run(steps)
        self.assertEqual(answer.status, 503)
        self.assertEqual(other.runs, [])

    def test_odd_answers_never_reach_another_call(self) -> None:
        for fault in ('double_answers', 'unframed_answers', 'cut_answers'):
            with self.subTest(fault):
                bodies = self._bodies_with(fault)
                self.assertTrue(bodies)
                self.assertEqual(len(bodies), len(set(bodies)))
                for body in bodies:
                    self.assertRegex(body, rb'^run \d of b1$')

    def _bodies_with(self, fault: str) -> list[bytes]:
        """Return the bodies of three calls, the first with an odd answer."""
        fleet = Fleet(vms=1)
        fleet.configure(1, route('/a/'))
        server = fleet.add_backend('b1')

        async def steps() -> list[Any]:
            await fleet.ready()
            setattr(server.faults, fault, 1)
            return [await fleet.call() for _ in range(3)]

        answers = fleet.run(steps)
        return [answer.body for answer in answers if answer.status == 200]

    def test_leaving_vm_is_in_no_answer_and_cuts_nothing(self) -> None:
        fleet = Fleet(vms=3)
        fleet.configure(1, route('/a/'))
        fleet.add_backend('b1', service_time_s=0.4)

        async def steps() -> tuple[Any, Any, Any]:
            await fleet.ready()
            await fleet.pause(2.5)
            call = fleet.reactor.callLater
            call(0.1, lambda: Deferred.fromCoroutine(fleet.nodes[2].stop()))
            answer = await fleet.call(vm=2)
            ready = await fleet.ask(2, '/-/ready')
            target = '/-/resolve?Name=a.example&Region=cairo&Zone=nasr'
            return answer, ready, await fleet.ask(0, target)

        answer, ready, addresses = fleet.run(steps)
        self.assertEqual(answer.status, 200)
        self.assertEqual(ready.status, 503)
        named = json.loads(addresses.body)['Addresses']
        self.assertEqual(
            [one.partition(':')[0] for one in named], ['127.0.0.11']
        )
