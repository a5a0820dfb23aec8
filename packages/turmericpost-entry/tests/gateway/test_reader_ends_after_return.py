"""The reader of a failure domain ends just after the store has returned."""

from __future__ import annotations

import unittest

from tests.gateway.fleet_harness import DRAIN_S, Fleet, route
from turmericpost.gateway.node import GatewayNode

_VMS = 6
_GRACE_S = 2.0
_SAMPLE_S = 0.05


class ReaderEndsAfterReturnTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(vms=_VMS)
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

    # Guards against servers that are dropped at once, though they may register
    # again, by the next reader, which had heard of the store's return only.
    def test_server_that_the_copy_lacks_has_time_to_register(self) -> None:
        async def steps() -> list[tuple[float, int]]:
            await self.fleet.ready()
            copy = self.fleet.store.copy()
            self.fleet.add_backend('b2')
            await self.fleet.ready()
            self.fleet.store.restore(copy)
            returned_s = self.fleet.reactor.seconds()
            reader = self._first_reader()
            assert await self.fleet.wait_until(
                lambda: self._have_era('nasr', self.fleet.store.era), DRAIN_S
            )
            self._kill(reader)
            missing = []
            while self.fleet.reactor.seconds() < returned_s + _GRACE_S:
                missing.extend(
                    (round(self.fleet.reactor.seconds() - returned_s, 2), vm)
                    for vm, node in enumerate(self.fleet.nodes)
                    if vm != reader and 'b2' not in _usable(node)
                )
                await self.fleet.pause(_SAMPLE_S)
            return missing

        self.assertEqual(self.fleet.run(steps), [])

    def _first_reader(self) -> int:
        return next(
            vm
            for vm, node in enumerate(self.fleet.nodes)
            if node.view.own.failure_domain == 'nasr'
            and node.state_sync._is_first_reader()
        )

    def _kill(self, vm: int) -> None:
        """End a VM without notice."""
        node = self.fleet.nodes[vm]
        node.state_sync.reader.stop()
        self.fleet.end_process(vm)
        node.peers.transport.stopListening()

    def _have_era(self, domain: str, era: int | None) -> bool:
        return all(
            node.state.directory.era == era
            for node in self.fleet.nodes
            if node.view.own.failure_domain == domain
        )


def _usable(node: GatewayNode) -> set[str]:
    return {one.backend_id for one in node.state.usable_backends()}


if __name__ == '__main__':
    unittest.main()
