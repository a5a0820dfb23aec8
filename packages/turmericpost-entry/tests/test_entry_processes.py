"""Tests of entry processes over real sockets.

They cover views, publishing, drain and faults.
"""

from __future__ import annotations

import json
import threading
import unittest
from collections import Counter
from http.client import HTTPException

from turmericpost_standins.experiment.processes import Cluster, wait_until


class LastEntryProcessTest(unittest.TestCase):
    """A single entry VM, so no other VM can take over its calls."""

    def test_last_vm_serves_calls_while_draining(self) -> None:
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
    """Three entry VMs; each test starts its own cluster."""

    def setUp(self) -> None:
        self.cluster = Cluster(3)
        self.addCleanup(self.cluster.stop)
        self.assertTrue(self.cluster.wait_ready())

    def test_killed_vm_is_removed_from_every_view(self) -> None:
        killed_vm, *others = self.cluster.vms
        killed_vm.process.kill()
        names = {vm.name for vm in others}
        self.assertTrue(
            wait_until(lambda: all(vm.live_vms() == names for vm in others)),
        )

    def test_one_of_two_concurrent_changes_is_accepted_everywhere(self) -> None:
        first, second, third = self.cluster.vms
        document = first.admin('configuration')['document']
        verdicts: list[str] = []

        def publish(vm: object, domain: int) -> None:
            changed_document = json.loads(json.dumps(document))
            changed_document['failure_domains'][domain]['out_of_service'] = True
            response = vm.admin(  # type: ignore[attr-defined]
                'changes',
                {
                    'text': json.dumps(changed_document),
                    'format': 'json',
                    'base_revision': 1,
                    'author': 'test',
                },
            )
            verdicts.append(response['verdict'])

        publishers = [
            threading.Thread(target=publish, args=(vm, index))
            for index, vm in enumerate((first, second))
        ]
        for publisher in publishers:
            publisher.start()
        for publisher in publishers:
            publisher.join()
        self.assertEqual(Counter(verdicts), {'accepted': 1, 'conflict': 1})
        self.assertTrue(
            wait_until(
                lambda: {vm.revision() for vm in self.cluster.vms} == {2}
            )
        )
        domains_out = {
            tuple(vm.admin('status')['failure_domains_out'])
            for vm in (first, second, third)
        }
        self.assertEqual(len(domains_out), 1)

    def test_calls_are_served_while_the_log_is_down(self) -> None:
        vm = self.cluster.vms[0]
        self.cluster.stand_ins.control('/store', {'is_down': True})
        document = vm.admin('configuration')['document']
        response = vm.admin(
            'changes',
            {'text': json.dumps(document), 'format': 'json', 'author': 'test'},
        )
        self.assertIn(response['title'], {'not accepted', 'unsettled'})
        self.assertEqual(vm.call()[0], 200)
        self.assertEqual(vm.revision(), 1)

    def test_lost_store_response_keeps_change_exactly_once(self) -> None:
        vm = self.cluster.vms[0]
        self.cluster.stand_ins.control('/store', {'lose_next_answers': 1})
        document = vm.admin('configuration')['document']
        response = vm.admin(
            'changes',
            {'text': json.dumps(document), 'format': 'json', 'author': 'test'},
        )
        self.assertEqual(response['verdict'], 'accepted')
        self.assertEqual(vm.revision(), 2)
        self.assertEqual(len(vm.admin('history')['changes']), 2)

    def test_stop_under_load_interrupts_no_call(self) -> None:
        vm = self.cluster.vms[0]
        outcomes: Counter[str] = Counter()
        first_call_done = threading.Event()

        def send_calls() -> None:
            for _ in range(400):
                try:
                    status, headers, body = vm.call(X_Service_Ms='30')
                except ConnectionRefusedError:
                    return
                except (OSError, HTTPException) as error:
                    outcomes[type(error).__name__] += 1
                    continue
                is_complete = len(body) == int(headers['content-length'])
                outcomes[
                    'whole' if status == 200 and is_complete else 'bad'
                ] += 1
                first_call_done.set()

        client_threads = [threading.Thread(target=send_calls) for _ in range(6)]
        for client_thread in client_threads:
            client_thread.start()
        self.assertTrue(first_call_done.wait(20))
        vm.terminate()
        for client_thread in client_threads:
            client_thread.join()
        self.assertEqual(vm.process.wait(20), 0)
        self.assertEqual(outcomes.keys(), {'whole'})
        self.assertGreater(outcomes['whole'], 6)

    def test_truncated_response_is_a_failure(self) -> None:
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
