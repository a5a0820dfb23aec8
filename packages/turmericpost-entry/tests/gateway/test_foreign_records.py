"""Odd records of other writers in the store, with whole VMs over sockets."""

from __future__ import annotations

import json
import unittest

from tests.gateway.fleet_harness import DRAIN_S, Fleet, route
from tests.platform.samples import ENTRY

_CONFIG_S = 2.0
_ENTRY = {**ENTRY, 'Address': '127.0.0.1:9'}
_FOREIGN_ENTRIES = (
    b'[' * 20_000,
    json.dumps({**_ENTRY, 'Service': 'catalogue-\ud83d'}).encode(),
    json.dumps({**_ENTRY, 'Zone': '\udc00'}).encode(),
    json.dumps({**_ENTRY, 'Slots': 2**64}).encode(),
    json.dumps({**_ENTRY, 'born': 2**70}).encode(),
    json.dumps({**_ENTRY, 'WarmupLeftMs': 0})
    .replace('"WarmupLeftMs": 0', '"WarmupLeftMs": ' + '9' * 400)
    .encode(),
    json.dumps({**_ENTRY, 'Address': '127.0.0.1:70000'}).encode(),
    json.dumps({**_ENTRY, 'Address': 'pr\u00e9sse:80'}).encode(),
)


class ForeignRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(vms=4)
        self.fleet.configure(1, route('/a/'))

    # Guards against a record that its reader cannot pass on: the other VMs
    # keep the configuration of that moment.
    def test_new_version_reaches_all_vms_after_foreign_records(self) -> None:
        self.fleet.add_backend('b1')

        async def steps() -> bool:
            await self.fleet.ready()
            self._add_foreign_records()
            await self.fleet.pause(1)
            self.fleet.configure(2, route('/a/'), route('/b/'))
            return await self.fleet.wait_until(
                lambda: self._has_version_everywhere(2), _CONFIG_S
            )

        self.assertTrue(self.fleet.run(steps))

    # Guards against requests that are refused with 404 as only an older version
    # allows, at the VMs that do not read the store themselves.
    def test_added_route_is_served_by_all_vms_after_a_foreign_record(
        self,
    ) -> None:
        self.fleet.add_backend('b1')
        entry = json.dumps({**_ENTRY, 'Service': '\ud800press'}).encode()

        async def steps() -> list[int]:
            await self.fleet.ready()
            self.fleet.store.put_keyed('keyed.servers', 'i-5d637a8a', entry)
            await self.fleet.pause(1)
            self.fleet.configure(2, route('/a/'), route('/added/'))
            await self.fleet.pause(_CONFIG_S)
            responses = [
                await self.fleet.call(vm, '/added/x') for vm in range(4)
            ]
            return [response.status for response in responses]

        self.assertEqual(self.fleet.run(steps), [200] * 4)

    # Guards against a record that hides all later records of the registry.
    def test_server_that_drains_after_foreign_records_gets_no_calls(
        self,
    ) -> None:
        draining_server = self.fleet.add_backend('b1')
        self.fleet.add_backend('b2')

        async def steps() -> int:
            await self.fleet.ready()
            self._add_foreign_records()
            await self.fleet.pause(1)
            draining_server.faults.is_draining = True
            self.fleet.register('b1')
            await self.fleet.pause(DRAIN_S)
            before = len(draining_server.runs)
            for vm in range(4):
                for _ in range(5):
                    await self.fleet.call(vm)
            return len(draining_server.runs) - before

        self.assertEqual(self.fleet.run(steps), 0)

    # Guards against a listing that ends at an odd record, so that a VM that
    # starts later is never ready.
    def test_vms_start_with_foreign_records_in_the_registry(self) -> None:
        self._add_foreign_records()
        self.fleet.add_backend('b1')

        async def steps() -> int:
            await self.fleet.ready()
            responses = [await self.fleet.call(vm) for vm in range(4)]
            return sum(
                response is not None and response.status == 200
                for response in responses
            )

        self.assertEqual(self.fleet.run(steps), 4)

    def _add_foreign_records(self) -> None:
        for number, entry in enumerate(_FOREIGN_ENTRIES):
            self.fleet.store.put_keyed('keyed.servers', f'x-{number}', entry)

    def _has_version_everywhere(self, version: int) -> bool:
        return all(
            node.state.config is not None
            and node.state.config.version == version
            for node in self.fleet.nodes
        )


if __name__ == '__main__':
    unittest.main()
