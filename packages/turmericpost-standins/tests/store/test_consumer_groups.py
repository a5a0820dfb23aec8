"""Consumer groups of the store's stand-in."""

from __future__ import annotations

import unittest

from turmericpost_standins.store.consumer_groups import ConsumerGroup

_TOPICS = ('work',)


class GroupTest(unittest.TestCase):
    def test_partitions_are_assigned_evenly(self) -> None:
        group = ConsumerGroup(partitions_per_topic=8)
        group.join('a', _TOPICS, 3, 0)
        group.join('b', _TOPICS, 3, 0)
        self.assertEqual(len(group.list_assignments('a')), 4)
        self.assertEqual(len(group.list_assignments('b')), 4)

    def test_expired_member_loses_its_partitions(self) -> None:
        group = ConsumerGroup(partitions_per_topic=2)
        group.join('a', _TOPICS, 1, 0)
        first_generation = group.join('b', _TOPICS, 9, 0)
        self.assertGreater(group.join('b', _TOPICS, 9, 2), first_generation)
        self.assertEqual(len(group.list_assignments('b')), 2)

    def test_only_the_current_owner_can_commit(self) -> None:
        group = ConsumerGroup(partitions_per_topic=1)
        generation = group.join('a', _TOPICS, 3, 0)
        self.assertTrue(group.commit('a', ('work', 0), 5, generation))
        self.assertFalse(group.commit('b', ('work', 0), 9, generation))
        self.assertFalse(group.commit('a', ('work', 0), 9, generation - 1))
        group.rewind_offsets(2)
        self.assertEqual(group.list_assignments(), [['work', 0, 'a', 3]])
