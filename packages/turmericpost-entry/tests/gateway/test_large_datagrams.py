"""Datagrams between VMs whose size grows with the number of VMs."""

from __future__ import annotations

import unittest
from dataclasses import replace

from tests.gateway.fleet_harness import Fleet
from turmericpost.fleet.messages import KnownVms

_VMS = 400
_PAUSE_S = 0.5


class LargeDatagramTest(unittest.TestCase):
    # Guards against VMs of a large deployment that cannot read the list of known
    # VMs, and so count the few that they hear as their whole domain.
    def test_list_of_all_vms_of_a_large_deployment_is_read(self) -> None:
        fleet = Fleet(vms=2)
        sender, receiver = fleet.nodes
        own = sender.view.own
        vms = tuple(
            replace(own, name=f'edge-giza-{number}', failure_domain='giza')
            for number in range(_VMS)
        )

        async def steps() -> None:
            await fleet.pause(_PAUSE_S)
            sender.peers.send(receiver.view.own, KnownVms(vms))
            await fleet.pause(_PAUSE_S)

        fleet.run(steps)
        names = {vm.name for vm in receiver.view.known()}
        self.assertLessEqual({vm.name for vm in vms}, names)


if __name__ == '__main__':
    unittest.main()
