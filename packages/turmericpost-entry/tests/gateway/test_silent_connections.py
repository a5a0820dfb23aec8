"""Connections to the store that go silent without being closed."""

from __future__ import annotations

import unittest

from tests.gateway.fleet_harness import Fleet, route

_CONFIG_S = 2.0
_PHASES_S = (0, 0.4, 0.8, 1.2, 1.6)


class SilentConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.configure(1, route('/a/'))
        self.version = 1

    # Guards against a silent connection that looks like a quiet one: the VM
    # waits on it for a new version for longer than the bound.
    def test_version_after_waiting_reads_went_silent_is_in_force_in_time(
        self,
    ) -> None:
        async def steps() -> list[float]:
            await self.fleet.ready()
            return [await self._delay_s(phase_s) for phase_s in _PHASES_S]

        delays_s = self.fleet.run(steps)
        self.assertLess(max(delays_s), _CONFIG_S, delays_s)

    async def _delay_s(self, phase_s: float) -> float:
        """Return how long a version takes to all VMs after the silence."""
        await self.fleet.wait_until(
            lambda: self.fleet.store.waiting_read_count == 2, 3
        )
        self.fleet.store.silence_waiting_reads()
        await self.fleet.pause(phase_s)
        self.version += 1
        self.fleet.configure(self.version, route('/a/'))
        begun_s = self.fleet.reactor.seconds()
        await self.fleet.wait_until(self._is_in_force, 2 * _CONFIG_S)
        return self.fleet.reactor.seconds() - begun_s

    def _is_in_force(self) -> bool:
        return all(
            node.state.config.version == self.version
            for node in self.fleet.nodes
        )


if __name__ == '__main__':
    unittest.main()
