"""The parts of an entry VM hear of the store's era, over sockets."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from tests.configlog.era_log import document_with
from tests.harness import vm_record
from tests.platform.test_store_client import StoreHarness
from turmericpost.node import EntryNode
from turmericpost.settings_groups import resolve_settings
from turmericpost_core.operations.table import OperationId
from turmericpost_core.outcome.reasons import RefusalReason

_KEY = OperationId('mosque', 'pressroom', 'made-by-caller')


class NodeErasTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreHarness()
        self.node = self._new_node()
        self.follower = self.node._platform.follower

    def _new_node(self) -> EntryNode:
        host, port = self.store.address
        settings = resolve_settings(
            {
                'failure_domain': 'cairo-a',
                'region': 'cairo',
                'store_address': f'{host}:{port}',
                'vm_list_url': f'http://{host}:{port}/vms',
                'caller_port': '0',
            },
            {},
        ).unwrap()
        peers = replace(settings.peers, peer_port=0)
        node = EntryNode(self.store.reactor, replace(settings, peers=peers))
        node._listen_callers()
        node._start_peers()
        return node

    def _run(self, steps: Callable[[], Awaitable[Any]]) -> Any:
        """Run a coroutine to its end, then close the ports."""

        async def run_and_close() -> Any:
            ended = await steps()
            await self.node._close_remaining()
            await self.node._ports[0].stopListening()
            return ended

        return self.store.run(run_and_close)

    async def _publish(self, port: int) -> Any:
        revision = self.follower.configuration.revision
        publisher = self.node._platform.publisher
        return await publisher.publish(document_with(port), revision, 'amal')

    def _start_reading(self) -> Deferred[None]:
        reading = Deferred.fromCoroutine(self.follower.run())
        return reading.addErrback(lambda failure: failure.trap(CancelledError))

    # Guards against a configuration log and claims that hear of no return.
    def test_return_of_the_store_reaches_log_and_claims(self) -> None:
        async def steps() -> Any:
            await self._publish(1)
            before = self.store.service.copy()
            await self._publish(2)
            self.store.service.restore(before)
            refused = await self._publish(3)
            claimed = await self.node.forwarder.key_claims.claim(
                _KEY, vm_record(1)
            )
            await self.node._platform.snapshots.write_if_due()
            return refused, claimed

        refused, claimed = self._run(steps)
        self.assertTrue(refused.is_err(), refused)
        self.assertIs(claimed.err(), RefusalReason.KEY_CLAIM_UNAVAILABLE)
        self.assertEqual(self.follower.configuration.revision, 2)
        self.assertFalse(self.follower.has_gap)
        stream = self.store.service.partition('turmericpost-configuration')
        self.assertIn(b'"snapshot"', stream.records[-1].record)

    # Guards against a read that waits in the store when it returns.
    def test_waiting_read_ends_and_the_log_is_read_again(self) -> None:
        async def steps() -> None:
            for port in (1, 2, 3):
                await self._publish(port)
            before = self.store.service.copy()
            await self._publish(4)
            reading = self._start_reading()
            await self.store.pause(0.1)
            self.store.service.restore(before)
            await self.store.pause(1)
            reading.cancel()

        self._run(steps)
        position = (self.follower.era, self.follower.folded_offset)
        self.assertEqual(position, (2, 3))
        self.assertEqual(self.follower.configuration.revision, 4)
        self.assertTrue(self.follower.log_status.has_lost_records)


if __name__ == '__main__':
    unittest.main()
