"""What a VM does that knows that it lacks a newer configuration."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from tests.gateway.fleet_harness import Fleet, route
from turmericpost_core.outcome.reasons import RefusalReason

_CONFIG_S = 2.0
_VMS = 6
_BEHIND = 4
_ENCODERS = (
    'turmericpost.fleet.state_pusher.encode_update',
    'turmericpost.fleet.update_stream.encode_update',
)


class VmBehindTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(vms=_VMS)
        self.fleet.configure(1, route('/a/'))
        self.fleet.add_backend('b1')

    def _break_all_ways(self) -> None:
        """Let no VM hand on its state, and one VM not read the store."""
        for encoder in _ENCODERS:
            patched = patch(encoder, side_effect=RuntimeError('test'))
            patched.start()
            self.addCleanup(patched.stop)
        state_sync = self.fleet.nodes[_BEHIND].state_sync
        state_sync.reader.stop()

    # Guards against a final refusal, which callers do not retry, of a route
    # that other VMs know.
    def test_unknown_route_is_not_refused_for_good_while_behind(self) -> None:
        async def steps() -> list[int]:
            await self.fleet.ready()
            self._break_all_ways()
            self.fleet.configure(2, route('/a/'), route('/added/'))
            await self.fleet.pause(_CONFIG_S)
            return [await self._status(vm, '/added/x') for vm in range(_VMS)]

        expected = [200] * _VMS
        expected[_BEHIND] = 503
        self.assertEqual(self.fleet.run(steps), expected)
        refusals = self.fleet.nodes[_BEHIND].metrics.refusals
        self.assertEqual(refusals, {RefusalReason.STATE_BEHIND: 1})

    def test_known_routes_are_served_while_behind(self) -> None:
        async def steps() -> int:
            await self.fleet.ready()
            self._break_all_ways()
            self.fleet.configure(2, route('/a/'), route('/added/'))
            await self.fleet.pause(_CONFIG_S)
            return await self._status(_BEHIND, '/a/x')

        self.assertEqual(self.fleet.run(steps), 200)

    # Guards against new callers at a VM that has lacked a configuration for
    # longer than the bound, while the others have it.
    def test_vm_behind_for_too_long_leaves_callers_to_others(self) -> None:
        async def steps() -> list[bool]:
            await self.fleet.ready()
            self._break_all_ways()
            self.fleet.configure(2, route('/a/'), route('/added/'))
            await self.fleet.pause(_CONFIG_S + 1)
            return [node.is_ready for node in self.fleet.nodes]

        expected = [True] * _VMS
        expected[_BEHIND] = False
        self.assertEqual(self.fleet.run(steps), expected)

    async def _status(self, vm: int, path: str) -> int:
        response = await self.fleet.call(vm, path)
        return 0 if response is None else response.status


if __name__ == '__main__':
    unittest.main()
