"""Incremental registry updates: small, with the same result as a full one."""

from __future__ import annotations

import unittest
from random import Random

from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.changes import (
    MAX_KEPT_CHANGES,
    BackendChange,
    ChangeLog,
    directory_digest,
)
from turmericpost_core.fleet.directory import BackendDirectory, UpdateOutcome
from turmericpost_core.fleet.store_position import StorePosition

SERVERS = 400
RELEASED_SERVERS = 14
RUNS = 300


def registered(offset: int, number: int, **changes: object) -> Registration:
    return Registration(offset, f'b{number}', backend(number, **changes))


def removed(offset: int, number: int) -> Registration:
    return Registration(offset, f'b{number}', None)


def large_directory() -> BackendDirectory:
    directory = BackendDirectory()
    directory.apply_records([registered(one, one) for one in range(SERVERS)], 0)
    return directory


def have_equal_backends(one: BackendDirectory, other: BackendDirectory) -> bool:
    digests = (
        directory_digest(directory.backends.values())
        for directory in (one, other)
    )
    return len(set(digests)) == 1


class ChangeLogTest(unittest.TestCase):
    def test_only_the_last_change_of_a_server_is_returned(self) -> None:
        log = ChangeLog()
        log.record(BackendChange((1, 0), 'b0', backend(0)))
        log.record(BackendChange((2, 0), 'b1', backend(1)))
        log.record(BackendChange((3, 0), 'b0', None))
        sent_changes = log.changes_since((1, 0))
        self.assertEqual(
            [(one.backend_id, one.backend) for one in sent_changes],
            [('b1', backend(1)), ('b0', None)],
        )
        self.assertEqual(log.changes_since((3, 0)), ())

    def test_incomplete_changes_are_not_returned(self) -> None:
        log = ChangeLog()
        for offset in range(1, MAX_KEPT_CHANGES + 3):
            log.record(BackendChange((offset, 0), 'b0', None))
        self.assertIsNone(log.changes_since((1, 0)))
        self.assertEqual(len(log.changes_since((2, 0))), 1)

    def test_changes_before_a_listing_are_unknown(self) -> None:
        log = ChangeLog()
        log.record(BackendChange((1, 0), 'b0', None))
        log.reset((9, 0))
        self.assertIsNone(log.changes_since((1, 0)))
        self.assertEqual(log.changes_since((9, 0)), ())


class DirectoryUpdateTest(unittest.TestCase):
    def test_release_in_a_large_registry_sends_only_replaced_servers(
        self,
    ) -> None:
        """Load pattern: 14 servers replaced at a time in a registry of 400."""
        sender, receiver = large_directory(), BackendDirectory()
        receiver.apply_update(sender.update_since(None))
        offset = SERVERS
        for number in range(RELEASED_SERVERS):
            starts = registered(offset, SERVERS + number, started_ms=9)
            drains = registered(offset + 1, number, is_draining=True)
            sender.apply_records([starts, drains], 1)
            offset += 2
        update = sender.update_since(receiver.version)
        self.assertEqual(len(update.changes), 2 * RELEASED_SERVERS)
        self.assertIs(receiver.apply_update(update), UpdateOutcome.APPLIED)
        self.assertTrue(have_equal_backends(sender, receiver))

    def test_changes_to_a_different_registry_are_rejected(self) -> None:
        """One VM still has an expired server that the other one dropped."""
        sender, receiver = large_directory(), large_directory()
        receiver.start_reregistration_grace(1)
        for directory in (sender, receiver):
            removals = [removed(SERVERS, 0), removed(SERVERS + 1, 1)]
            directory.apply_records(removals[:1], 1)
            directory.apply_records(removals[1:], 4)
        sender.apply_records([removed(SERVERS + 2, 2)], 4)
        update = sender.update_since(receiver.version)
        self.assertIsNotNone(update.base)
        self.assertIs(receiver.apply_update(update), UpdateOutcome.MISMATCH)
        self.assertIn('b0', receiver.backends)
        self.assertIs(
            receiver.apply_update(sender.update_since(None)),
            UpdateOutcome.APPLIED,
        )
        self.assertTrue(have_equal_backends(sender, receiver))

    def test_update_after_a_listing_is_full(self) -> None:
        sender, receiver = large_directory(), large_directory()
        sender.resync(
            [registered(SERVERS + 8, 7)], StorePosition(SERVERS + 9), 1
        )
        update = sender.update_since(receiver.version)
        self.assertIsNone(update.base)
        self.assertIs(receiver.apply_update(update), UpdateOutcome.APPLIED)
        self.assertEqual(set(receiver.backends), {'b7'})

    def test_dropped_server_is_sent_as_a_change(self) -> None:
        sender, receiver = large_directory(), large_directory()
        sender.start_reregistration_grace(1)
        sender.apply_records([removed(SERVERS, 0)], 1)
        sender.expire(9)
        update = sender.update_since(receiver.version)
        self.assertEqual([one.backend for one in update.changes], [None])
        self.assertIs(receiver.apply_update(update), UpdateOutcome.APPLIED)
        self.assertNotIn('b0', receiver.backends)

    def test_chain_of_vms_ends_with_the_registry_of_the_reader(self) -> None:
        """Each VM gets updates from the one before it, at random times."""
        full_updates_total = 0
        for seed in range(RUNS):
            chain, full_updates = _run_chain(Random(seed))
            full_updates_total += full_updates
            for directory in chain[1:]:
                self._assert_equal_state(chain[0], directory, seed)
        self.assertGreater(full_updates_total, 0)

    def _assert_equal_state(
        self,
        reader: BackendDirectory,
        directory: BackendDirectory,
        seed: int,
    ) -> None:
        self.assertTrue(have_equal_backends(reader, directory), seed)
        self.assertEqual(reader.version, directory.version, seed)


def _run_chain(random: Random) -> tuple[list[BackendDirectory], int]:
    chain = [BackendDirectory() for _ in range(4)]
    full_updates = 0
    offset = 0
    for step in range(60):
        offset = _apply_random_change(chain[0], random, offset, step)
        for sender, receiver in zip(chain, chain[1:], strict=False):
            if random.uniform(0, 1) < 1 / 2:
                full_updates += _sync(sender, receiver)
    pairs = zip(chain, chain[1:], strict=False)
    full_updates += sum(_sync(sender, receiver) for sender, receiver in pairs)
    return chain, full_updates


def _apply_random_change(
    reader: BackendDirectory,
    random: Random,
    offset: int,
    now_s: float,
) -> int:
    number = random.randrange(9)
    kind = random.choice(('put', 'put', 'drain', 'gone', 'back', 'list'))
    record = registered(offset, number, is_draining=kind == 'drain')
    if kind == 'back':
        reader.start_reregistration_grace(now_s)
    elif kind == 'list':
        reader.resync([record], StorePosition(offset + 1), now_s)
    else:
        reader.apply_records(
            [removed(offset, number) if kind == 'gone' else record], now_s
        )
    reader.expire(now_s)
    return offset + 1


def _sync(sender: BackendDirectory, receiver: BackendDirectory) -> int:
    update = sender.update_since(receiver.version)
    outcome = receiver.apply_update(update)
    if outcome is UpdateOutcome.MISMATCH:
        assert update.base is not None
        receiver.apply_update(sender.update_since(None))
    return int(update.base is None or outcome is UpdateOutcome.MISMATCH)
