"""The store returns from a copy that lacks what it had acknowledged."""

from __future__ import annotations

import unittest

from tests.gateway.fleet_harness import DRAIN_S, Fleet, route
from turmericpost_core.fleet.directory import REREGISTRATION_GRACE_S

_VMS = 6
_CONFIG_S = 2.0
_CHECK_INS = 8


class StoreReturnsOlderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(vms=_VMS)
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')
        self.fleet.add_backend('b2')

    # Guards against a configuration that no VM reads, since the store gave an
    # offset out again that the VMs had read past.
    def test_configuration_at_a_reused_offset_is_in_force(self) -> None:
        async def steps() -> list[int]:
            await self.fleet.ready()
            copy = self.fleet.store.copy()
            self.fleet.configure(2, route('/a/'), route('/lost/'))
            await self._all_have_version(2)
            self.fleet.store.restore(copy)
            self.fleet.configure(3, route('/a/'), route('/new/'))
            await self.fleet.pause(_CONFIG_S)
            return [await self._status(vm, '/new/x') for vm in range(_VMS)]

        self.assertEqual(self.fleet.run(steps), [200] * _VMS)

    # Guards against calls to a server that has left, since its removal is at an
    # offset that the VMs had read past.
    def test_removal_at_a_reused_offset_takes_effect(self) -> None:
        async def steps() -> list[set[str]]:
            await self.fleet.ready()
            copy = self.fleet.store.copy()
            await self._check_in_often()
            self.fleet.store.restore(copy)
            self.fleet.unregister('b2')
            await self._check_in_often()
            await self.fleet.pause(REREGISTRATION_GRACE_S + DRAIN_S)
            return [self._usable(vm) for vm in range(_VMS)]

        self.assertEqual(self.fleet.run(steps), [{'b1'}] * _VMS)

    async def _check_in_often(self) -> None:
        """Write records of a server that change nothing."""
        for _ in range(_CHECK_INS):
            self.fleet.register('b1')
        await self.fleet.pause(DRAIN_S / 2)

    async def _all_have_version(self, version: int) -> None:
        def is_in_force() -> bool:
            configs = [node.state.config for node in self.fleet.nodes]
            return all(
                config is not None and config.version == version
                for config in configs
            )

        assert await self.fleet.wait_until(is_in_force, _CONFIG_S)

    def _usable(self, vm: int) -> set[str]:
        backends = self.fleet.nodes[vm].state.usable_backends()
        return {usable.backend_id for usable in backends}

    async def _status(self, vm: int, path: str) -> int:
        response = await self.fleet.call(vm, path)
        return 0 if response is None else response.status


if __name__ == '__main__':
    unittest.main()
