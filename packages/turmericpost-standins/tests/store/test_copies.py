"""The stand-in store returns from a copy that it made earlier."""

from __future__ import annotations

import unittest

from twisted.internet.task import Clock

from turmericpost_standins.store.service import StoreService

_TOPIC = 'keyed.op'


class StoreCopiesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = StoreService(Clock())
        self.store.put_keyed(_TOPIC, 'config', b'first')
        self.copy = self.store.copy()
        self.store.put_keyed(_TOPIC, 'config', b'lost')
        self.store.put_keyed(_TOPIC, 'evacuate/nasr', b'{}')

    def test_records_after_the_copy_are_lost(self) -> None:
        self.store.restore(self.copy)
        partition = self.store.partition(_TOPIC)
        self.assertEqual(partition.end_offset, 1)
        self.assertEqual(partition.latest_by_key, {b'config': (0, b'first')})

    def test_offsets_are_given_out_again(self) -> None:
        self.store.restore(self.copy)
        offset = self.store.put_keyed(_TOPIC, 'config', b'another')
        self.assertEqual(offset, 1)

    def test_era_rises_each_time(self) -> None:
        for _ in range(2):
            self.store.restore(self.copy)
            self.store.put_keyed(_TOPIC, 'config', b'another')
        self.assertEqual(self.store.era, 3)
        self.assertEqual(self.copy.partitions[_TOPIC, 0].end_offset, 1)

    def test_era_that_is_not_stated_stays_so(self) -> None:
        self.store.era = None
        self.store.restore(self.copy)
        self.assertIsNone(self.store.era)


if __name__ == '__main__':
    unittest.main()
