"""Entry processes over real sockets: views, publishing, stops, faults."""

from __future__ import annotations

import json
import threading
import unittest
from collections import Counter
from http.client import HTTPException

from turmericpost_standins.experiment.processes import Cluster, wait_until


class LastEntryProcessTest(unittest.TestCase):
    """The only entry VM: nobody takes its calls over."""

    def test_the_last_vm_serves_on_while_it_leaves(self) -> None:
        cluster = Cluster(1)
        self.addCleanup(cluster.stop)
        self.assertTrue(cluster.wait_ready())
        vm = cluster.vms[0]
        vm.terminate()
        self.assertTrue(
            wait_until(
                lambda: vm.admin('status')['entry_vms'][0]['state'] == 'leaving'
            ),
        )
        self.assertEqual(vm.call()[0], 200)
        self.assertEqual(vm.process.wait(20), 0)


class EntryProcessesTest(unittest.TestCase):
    """Three entry VMs; each test leaves the platform as it found it."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.addCleanup(self.cluster.stop)
        self.assertTrue(self.cluster.wait_ready())

    def test_a_killed_vm_leaves_every_view(self) -> None:
        lost, *others = self.cluster.vms
        lost.process.kill()
        names = {vm.name for vm in others}
        self.assertTrue(
            wait_until(lambda: all(vm.live_vms() == names for vm in others)),
        )

    def test_of_two_racing_changes_one_is_in_force_everywhere(self) -> None:
        first, second, third = self.cluster.vms
        document = first.admin('configuration')['document']
        verdicts: list[str] = []

        def publish(vm: object, domain: int) -> None:
            changed = json.loads(json.dumps(document))
            changed['failure_domains'][domain]['out_of_service'] = True
            answer = vm.admin(  # type: ignore[attr-defined]
                'changes',
                {
                    'text': json.dumps(changed),
                    'format': 'json',
                    'base_revision': 1,
                    'author': 'test',
                },
            )
            verdicts.append(answer['verdict'])

        racers = [
            threading.Thread(target=publish, args=(vm, index))
            for index, vm in enumerate((first, second))
        ]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        self.assertEqual(Counter(verdicts), {'accepted': 1, 'conflict': 1})
        self.assertTrue(
            wait_until(
                lambda: {vm.revision() for vm in self.cluster.vms} == {2}
            )
        )
        out = {
            tuple(vm.admin('status')['failure_domains_out'])
            for vm in (first, second, third)
        }
        self.assertEqual(len(out), 1)

    def test_serving_goes_on_while_the_log_is_down(self) -> None:
        vm = self.cluster.vms[0]
        self.cluster.stand_ins.control('/store', {'is_down': True})
        document = vm.admin('configuration')['document']
        answer = vm.admin(
            'changes',
            {'text': json.dumps(document), 'format': 'json', 'author': 'test'},
        )
        self.assertIn(answer['title'], {'not accepted', 'unsettled'})
        self.assertEqual(vm.call()[0], 200)
        self.assertEqual(vm.revision(), 1)

    def test_a_lost_answer_neither_loses_nor_doubles_a_change(self) -> None:
        vm = self.cluster.vms[0]
        self.cluster.stand_ins.control('/store', {'lose_next_answers': 1})
        document = vm.admin('configuration')['document']
        answer = vm.admin(
            'changes',
            {'text': json.dumps(document), 'format': 'json', 'author': 'test'},
        )
        self.assertEqual(answer['verdict'], 'accepted')
        self.assertEqual(vm.revision(), 2)
        self.assertEqual(len(vm.admin('history')['changes']), 2)

    def test_a_stop_under_load_cuts_no_call_off(self) -> None:
        vm = self.cluster.vms[0]
        ends: Counter[str] = Counter()
        begun = threading.Event()

        def drive() -> None:
            for _ in range(400):
                try:
                    status, headers, body = vm.call(X_Service_Ms='30')
                except ConnectionRefusedError:
                    return
                except (OSError, HTTPException) as error:
                    ends[type(error).__name__] += 1
                    continue
                whole = len(body) == int(headers['content-length'])
                ends['whole' if status == 200 and whole else 'bad'] += 1
                begun.set()

        drivers = [threading.Thread(target=drive) for _ in range(6)]
        for driver in drivers:
            driver.start()
        self.assertTrue(begun.wait(20))
        vm.terminate()
        for driver in drivers:
            driver.join()
        self.assertEqual(vm.process.wait(20), 0)
        self.assertEqual(ends.keys(), {'whole'})
        self.assertGreater(ends['whole'], 6)

    def test_truncated_answers_are_seen_as_failures(self) -> None:
        vm = self.cluster.vms[0]
        fault = {'service': 'catalogue', 'truncates': True}
        self.cluster.stand_ins.control('/faults', fault)
        status, headers, _ = vm.call('POST', b'order')
        self.assertEqual(status, 502)
        self.assertEqual(headers['turmericpost-outcome'], 'unknown')
        self.assertEqual(headers['turmericpost-reason'], 'truncated-answer')
        refusals = vm.admin('status')['refusals']
        self.assertEqual(refusals, {'truncated-answer': 1})


if __name__ == '__main__':
    unittest.main()
