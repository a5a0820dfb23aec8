"""Groups of the store's stand-in."""

from __future__ import annotations

import unittest

from turmericpost_standins.store.consumer_groups import ConsumerGroup

_TOPICS = ('work',)


class GroupTest(unittest.TestCase):
    def test_partitions_are_dealt_evenly(self) -> None:
        group = ConsumerGroup(parts=8)
        group.join('a', _TOPICS, 3, 0)
        group.join('b', _TOPICS, 3, 0)
        self.assertEqual(len(group.rows('a')), 4)
        self.assertEqual(len(group.rows('b')), 4)

    def test_silent_member_loses_its_partitions(self) -> None:
        group = ConsumerGroup(parts=2)
        group.join('a', _TOPICS, 1, 0)
        first = group.join('b', _TOPICS, 9, 0)
        self.assertGreater(group.join('b', _TOPICS, 9, 2), first)
        self.assertEqual(len(group.rows('b')), 2)

    def test_only_the_holder_commits(self) -> None:
        group = ConsumerGroup(parts=1)
        generation = group.join('a', _TOPICS, 3, 0)
        self.assertTrue(group.commit('a', ('work', 0), 5, generation))
        self.assertFalse(group.commit('b', ('work', 0), 9, generation))
        self.assertFalse(group.commit('a', ('work', 0), 9, generation - 1))
        group.rewind(2)
        self.assertEqual(group.rows(), [['work', 0, 'a', 3]])
