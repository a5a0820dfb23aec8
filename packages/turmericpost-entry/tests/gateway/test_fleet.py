"""Entry VMs with stand-ins of the store and backend servers, over sockets."""

from __future__ import annotations

import json
import unittest
from typing import Any

from twisted.internet.defer import Deferred

from tests.gateway.fleet_harness import DRAIN_S, Fleet, route

_ORDER = route('/order/', RouteType='non_idempotent')


class FailingCallback:
    """A method that raises an exception the first time it is called."""

    def __init__(self, owner: Any, method: str) -> None:
        self.calls = 0
        self._owner = owner
        self._method = method
        self._function = getattr(owner, method)

    def install(self) -> None:
        setattr(self._owner, self._method, self._call)

    def _call(self, *arguments: Any) -> Any:
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError('test')
        return self._function(*arguments)


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()

    def test_call_is_served_and_unknown_paths_are_not_found(self) -> None:
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

        async def steps() -> tuple[Any, Any]:
            await self.fleet.ready()
            return await self.fleet.call(), await self.fleet.call(path='/z/')

        served, unknown = self.fleet.run(steps)
        self.assertEqual(served.status, 200)
        self.assertEqual(served.body, b'run 1 of b1')
        self.assertEqual(unknown.status, 404)

    def test_vm_without_a_configuration_refuses_calls(self) -> None:
        response = self.fleet.run(self.fleet.call)
        self.assertEqual(response.status, 503)

    # Guards against a 200 framed as whole from a server that stopped in the
    # middle of its response head and closed the connection.
    def test_response_that_ends_in_its_head_is_no_response(self) -> None:
        self.fleet.configure(1, route('/a/'), _ORDER)
        cutting = self.fleet.add_backend('b1')

        async def steps() -> tuple[list[int], Any]:
            await self.fleet.ready()
            cutting.faults.cut_heads = 3
            orders = [
                await self.fleet.call(path='/order/x', method='POST', body=b'x')
                for _ in range(3)
            ]
            cutting.faults.cut_heads = 1
            self.fleet.add_backend('b2')
            await self.fleet.ready()
            return [order.status for order in orders], await self.fleet.call()

        statuses, lookup = self.fleet.run(steps)
        self.assertEqual(statuses, [502] * 3)
        self.assertEqual(lookup.status, 200)
        self.assertTrue(lookup.body.startswith(b'run '))

    def test_addresses_are_ready_vms_of_the_callers_domain(self) -> None:
        self.fleet.configure(1, route('/a/'))

        async def steps() -> Any:
            await self.fleet.ready()
            await self.fleet.pause(2.5)
            return [
                await self.fleet.query_endpoint(
                    0,
                    f'/-/resolve?Name=a.example&Region=r&Zone={zone}',
                )
                for zone in ('nasr', 'smouha')
            ]

        near, far = (
            json.loads(response.body) for response in self.fleet.run(steps)
        )
        self.assertTrue(near['Addresses'][0].startswith('127.0.0.11:'))
        self.assertTrue(far['Addresses'][0].startswith('127.0.0.12:'))

    def test_draining_server_gets_no_calls_after_the_drain_time(self) -> None:
        self.fleet.configure(1, route('/a/'))
        draining_server = self.fleet.add_backend('b1')
        self.fleet.add_backend('b2')

        async def steps() -> int:
            await self.fleet.ready()
            draining_server.faults.is_draining = True
            self.fleet.register('b1')
            await self.fleet.pause(DRAIN_S)
            before = len(draining_server.runs)
            for _ in range(10):
                await self.fleet.call(vm=0)
                await self.fleet.call(vm=1)
            return len(draining_server.runs) - before

        self.assertEqual(self.fleet.run(steps), 0)

    # Guards against VMs of two failure domains that each use the whole limit.
    def test_stated_rate_limit_holds_for_all_vms_together(self) -> None:
        self.fleet.configure(1, route('/a/'))
        server = self.fleet.add_backend('b1')
        server.faults.requests_per_s = 2

        async def steps() -> None:
            await self.fleet.ready()
            end_s = self.fleet.reactor.seconds() + 6
            while self.fleet.reactor.seconds() < end_s:
                for vm in (0, 1):
                    Deferred.fromCoroutine(self.fleet.call(vm))
                await self.fleet.pause(0.1)

        self.fleet.run(steps)
        runs_s = [run.begun_s for run in server.runs]
        most = max(
            sum(begin_s <= run_s <= begin_s + 4 for run_s in runs_s)
            for begin_s in runs_s
        )
        self.assertLessEqual(most, 1.5 * 2 * 4 + 5)
        self.assertGreater(len(runs_s), 5)

    # Guards against a process that stays up without heartbeats, store reads or
    # checks after one unexpected exception.
    def test_vm_works_on_after_unexpected_exceptions(self) -> None:
        self.fleet.configure(1, route('/a/'))
        node = self.fleet.nodes[0]
        callbacks = [
            FailingCallback(*named)
            for named in (
                (node.peers, 'send_due_heartbeats'),
                (node.ingress, 'log_dropped_lines'),
                (node.state.directory, 'apply_records'),
            )
        ]

        async def steps() -> bool:
            await self.fleet.ready()
            for callback in callbacks:
                callback.install()
            self.fleet.add_backend('b1')
            await self.fleet.ready()
            return await self.fleet.wait_until(
                lambda: all(callback.calls > 1 for callback in callbacks), 4
            )

        self.assertTrue(self.fleet.run(steps))

    # Guards against a stop that cuts off calls because of an exception.
    def test_vm_that_cannot_announce_its_drain_still_drains(self) -> None:
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')
        node = self.fleet.nodes[0]
        callback = FailingCallback(node.peers, 'send_digests')

        async def steps() -> Any:
            await self.fleet.ready()
            callback.install()
            stopping = Deferred.fromCoroutine(node.stop())
            response = await self.fleet.call()
            is_running = not stopping.called
            await stopping
            return is_running, response.status

        self.assertEqual(self.fleet.run(steps), (True, 200))

    def test_evacuated_domain_gets_no_calls_until_it_is_restored(self) -> None:
        self.fleet.configure(1, route('/a/'))
        near = self.fleet.add_backend('b1', 'nasr')
        far = self.fleet.add_backend('b2', 'smouha')

        async def steps() -> tuple[int, int, int]:
            await self.fleet.ready()
            self.fleet.store.put_keyed('keyed.op', 'evacuate/nasr', b'{}')
            await self.fleet.pause(1)
            response = await self.fleet.call(vm=0)
            during = len(near.runs)
            self.fleet.store.put_keyed('keyed.op', 'evacuate/nasr', b'')
            await self.fleet.pause(1)
            await self.fleet.call(vm=0)
            return response.status, during, len(near.runs)

        status, during, after = self.fleet.run(steps)
        self.assertEqual((status, during, after), (200, 0, 1))
        self.assertEqual(len(far.runs), 1)

    def test_vm_without_store_reads_gets_the_configuration_from_peers(
        self,
    ) -> None:
        fleet = Fleet(vms=4)
        fleet.configure(1, route('/a/'))
        fleet.add_backend('b1')

        async def steps() -> bool:
            await fleet.ready()
            await fleet.pause(2.5)
            fleet.nodes[0].state_sync.reader.stop()
            fleet.configure(5, route('/a/'), route('/b/'))
            return await fleet.wait_until(
                lambda: all(
                    node.state.config.version == 5 for node in fleet.nodes
                ),
                2,
            )

        self.assertTrue(fleet.run(steps))

    def test_calls_are_served_while_the_store_is_unreachable(self) -> None:
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

        async def steps() -> list[int]:
            await self.fleet.ready()
            self.fleet.store.faults.is_down = True
            await self.fleet.pause(1.5)
            responses = [await self.fleet.call() for _ in range(3)]
            return [response.status for response in responses]

        self.assertEqual(self.fleet.run(steps), [200, 200, 200])

    def test_expired_registry_records_lead_to_a_new_listing(self) -> None:
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

        async def steps() -> bool:
            await self.fleet.ready()
            self.fleet.add_backend('b2')
            self.fleet.unregister('b1')
            self.fleet.store.compact('keyed.servers')
            return await self.fleet.wait_until(
                lambda: all(
                    set(node.state.directory.backends) == {'b2'}
                    for node in self.fleet.nodes
                ),
                5,
            )

        self.assertTrue(self.fleet.run(steps))

    def test_non_idempotent_call_is_not_retried_after_a_lost_response(
        self,
    ) -> None:
        self.fleet.configure(1, _ORDER)
        servers = [self.fleet.add_backend(f'b{one}') for one in range(2)]

        async def steps() -> Any:
            await self.fleet.ready()
            for one in servers:
                one.faults.lose_answers = 1
            return await self.fleet.call(0, '/order/1', 'POST', b'cards')

        response = self.fleet.run(steps)
        self.assertEqual(response.status, 502)
        runs = [run for one in servers for run in one.runs]
        self.assertEqual([run.body for run in runs], [b'cards'])

    def test_call_to_a_reused_address_is_not_run_there(self) -> None:
        self.fleet.configure(1, _ORDER)
        other = self.fleet.add_backend('b1')

        async def steps() -> Any:
            await self.fleet.ready()
            entry = other.encode_registration(self.fleet.addresses['b1'])
            self.fleet.store.put_keyed('keyed.servers', 'b9', entry)
            self.fleet.unregister('b1')
            directory = self.fleet.nodes[0].state.directory
            await self.fleet.wait_until(lambda: 'b9' in directory.backends, 3)
            return await self.fleet.call(0, '/order/1', 'POST', b'cards')

        response = self.fleet.run(steps)
        self.assertEqual(response.status, 503)
        self.assertEqual(other.runs, [])

    def test_malformed_responses_never_reach_another_call(self) -> None:
        for fault in ('double_answers', 'unframed_answers', 'cut_answers'):
            with self.subTest(fault):
                bodies = self._response_bodies_with(fault)
                self.assertTrue(bodies)
                self.assertEqual(len(bodies), len(set(bodies)))
                for body in bodies:
                    self.assertRegex(body, rb'^run \d of b1$')

    def _response_bodies_with(self, fault: str) -> list[bytes]:
        """Send three calls and return the bodies of the successful responses.

        The backend server sends a malformed response to the first call.
        """
        fleet = Fleet(vms=1)
        fleet.configure(1, route('/a/'))
        server = fleet.add_backend('b1')

        async def steps() -> list[Any]:
            await fleet.ready()
            setattr(server.faults, fault, 1)
            return [await fleet.call() for _ in range(3)]

        responses = fleet.run(steps)
        return [
            response.body for response in responses if response.status == 200
        ]

    def test_leaving_vm_is_in_no_address_response_and_finishes_calls(
        self,
    ) -> None:
        fleet = Fleet(vms=3)
        fleet.configure(1, route('/a/'))
        fleet.add_backend('b1', service_time_s=0.4)

        async def steps() -> tuple[Any, Any, Any]:
            await fleet.ready()
            await fleet.pause(2.5)
            call = fleet.reactor.callLater
            call(0.1, lambda: Deferred.fromCoroutine(fleet.nodes[2].stop()))
            response = await fleet.call(vm=2)
            ready = await fleet.query_endpoint(2, '/-/ready')
            target = '/-/resolve?Name=a.example&Region=cairo&Zone=nasr'
            return response, ready, await fleet.query_endpoint(0, target)

        response, ready, addresses = fleet.run(steps)
        self.assertEqual(response.status, 200)
        self.assertEqual(ready.status, 503)
        listed_addresses = json.loads(addresses.body)['Addresses']
        self.assertEqual(
            [address.partition(':')[0] for address in listed_addresses],
            ['127.0.0.11'],
        )
