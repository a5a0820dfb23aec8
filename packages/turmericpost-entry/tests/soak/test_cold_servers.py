"""Tests of how many requests cold servers get beside faults of VMs."""

from __future__ import annotations

import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from tests.soak.cold_arrivals import Permits, worst_second
from tests.soak.cold_servers import ColdDay, play, report
from turmericpost_standins.platform_backend import Arrival

_OK = 200
_DOMAIN_WITHOUT_VMS = ColdDay(
    'servers-alone',
    vms=(1, 20, 20, 20),
    calls_per_s=900,
    servers=3,
    rounds=6,
    round_s=3.2,
    delay_ms=40,
)


class ColdServersTest(unittest.TestCase):
    # Guards against more than the cold pace x 1.5 + 8 arrivals within a second
    # at a cold server, over all VMs, when no VM of its domain is up.
    def test_cold_servers_of_a_domain_without_vms_get_no_flood(self) -> None:
        findings = play(_DOMAIN_WITHOUT_VMS)
        self.assertGreater(findings.statuses[_OK], 0)
        lines = '\n'.join(report(_DOMAIN_WITHOUT_VMS, findings))
        self.assertFalse(findings.worst.is_too_many, lines)


class WorstSecondTest(unittest.TestCase):
    def test_counts_the_arrivals_within_any_second(self) -> None:
        times_s = (0, 0.5, 0.9, 1.4, 1.45, 2.5)
        arrivals = [
            Arrival(f'vm0.{number}', time_s)
            for number, time_s in enumerate(times_s)
        ]
        with TemporaryDirectory() as folder:
            worst = worst_second('b0', arrivals, Permits(Path(folder)))
        self.assertEqual(worst.count, 4)
        self.assertEqual(worst.begun_s, 0.5)
        self.assertEqual(worst.requesters, {'vm0': 4})

    def test_thirteen_arrivals_are_too_many_and_twelve_are_not(self) -> None:
        arrivals = [Arrival(f'vm0.{number}', 0) for number in range(13)]
        with TemporaryDirectory() as folder:
            permits = Permits(Path(folder))
            self.assertTrue(worst_second('b0', arrivals, permits).is_too_many)
            fewer = worst_second('b0', arrivals[1:], permits)
        self.assertFalse(fewer.is_too_many)

    def test_names_the_brokers_that_the_logs_tell(self) -> None:
        step = {'step': 'permit', 'backend': 'b0', 'permit': 'vm7.1.2'}
        line = json.dumps({'call': 'vm3.1', 'trail': [step]})
        with TemporaryDirectory() as folder:
            Path(folder, 'vm3.log').write_text(f'{line}\n', encoding='utf-8')
            permits = Permits(Path(folder))
            worst = worst_second('b0', [Arrival('vm3.1', 1)], permits)
        self.assertEqual(worst.granters, {'vm7': 1})


if __name__ == '__main__':
    unittest.main()
