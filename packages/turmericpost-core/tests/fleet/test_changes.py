"""Changes in place of the whole: small, and leading to the same registry."""

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

SERVERS = 400
RELEASED = 14
HISTORIES = 300


def registered(offset: int, number: int, **changes: object) -> Registration:
    return Registration(offset, f'b{number}', backend(number, **changes))


def gone(offset: int, number: int) -> Registration:
    return Registration(offset, f'b{number}', None)


def grown() -> BackendDirectory:
    directory = BackendDirectory()
    directory.fold([registered(one, one) for one in range(SERVERS)], 0)
    return directory


def same(one: BackendDirectory, other: BackendDirectory) -> bool:
    digests = (
        directory_digest(directory.backends.values())
        for directory in (one, other)
    )
    return len(set(digests)) == 1


class ChangeLogTest(unittest.TestCase):
    def test_last_change_of_a_server_is_told(self) -> None:
        log = ChangeLog()
        log.record(BackendChange((1, 0), 'b0', backend(0)))
        log.record(BackendChange((2, 0), 'b1', backend(1)))
        log.record(BackendChange((3, 0), 'b0', None))
        told = log.changes_since((1, 0))
        self.assertEqual(
            [(one.backend_id, one.backend) for one in told],
            [('b1', backend(1)), ('b0', None)],
        )
        self.assertEqual(log.changes_since((3, 0)), ())

    def test_what_is_kept_no_more_is_not_told_in_part(self) -> None:
        log = ChangeLog()
        for offset in range(1, MAX_KEPT_CHANGES + 3):
            log.record(BackendChange((offset, 0), 'b0', None))
        self.assertIsNone(log.changes_since((1, 0)))
        self.assertEqual(len(log.changes_since((2, 0))), 1)

    def test_nothing_is_told_of_the_time_before_a_listing(self) -> None:
        log = ChangeLog()
        log.record(BackendChange((1, 0), 'b0', None))
        log.reset((9, 0))
        self.assertIsNone(log.changes_since((1, 0)))
        self.assertEqual(log.changes_since((9, 0)), ())


class DirectoryUpdateTest(unittest.TestCase):
    def test_release_in_a_grown_service_tells_only_what_it_replaces(
        self,
    ) -> None:
        """Pattern: fourteen servers at a time, in a registry of 400."""
        sender, receiver = grown(), BackendDirectory()
        receiver.apply_update(sender.update_since(None))
        offset = SERVERS
        for number in range(RELEASED):
            starts = registered(offset, SERVERS + number, started_ms=9)
            drains = registered(offset + 1, number, is_draining=True)
            sender.fold([starts, drains], 1)
            offset += 2
        update = sender.update_since(receiver.version)
        self.assertEqual(len(update.changes), 2 * RELEASED)
        self.assertIs(receiver.apply_update(update), UpdateOutcome.APPLIED)
        self.assertTrue(same(sender, receiver))

    def test_changes_that_do_not_fit_are_seen(self) -> None:
        """A VM that kept a lapsed server meets one that did not."""
        sender, receiver = grown(), grown()
        receiver.start_return_grace(1)
        for directory in (sender, receiver):
            lapsed = [gone(SERVERS, 0), gone(SERVERS + 1, 1)]
            directory.fold(lapsed[:1], 1)
            directory.fold(lapsed[1:], 4)
        sender.fold([gone(SERVERS + 2, 2)], 4)
        update = sender.update_since(receiver.version)
        self.assertIsNotNone(update.base)
        self.assertIs(receiver.apply_update(update), UpdateOutcome.MISMATCH)
        self.assertIn('b0', receiver.backends)
        self.assertIs(
            receiver.apply_update(sender.update_since(None)),
            UpdateOutcome.APPLIED,
        )
        self.assertTrue(same(sender, receiver))

    def test_listing_is_told_whole(self) -> None:
        sender, receiver = grown(), grown()
        sender.resync([registered(SERVERS + 8, 7)], SERVERS + 9, 1)
        update = sender.update_since(receiver.version)
        self.assertIsNone(update.base)
        self.assertIs(receiver.apply_update(update), UpdateOutcome.APPLIED)
        self.assertEqual(set(receiver.backends), {'b7'})

    def test_given_up_server_is_told_as_a_change(self) -> None:
        sender, receiver = grown(), grown()
        sender.start_return_grace(1)
        sender.fold([gone(SERVERS, 0)], 1)
        sender.expire(9)
        update = sender.update_since(receiver.version)
        self.assertEqual([one.backend for one in update.changes], [None])
        self.assertIs(receiver.apply_update(update), UpdateOutcome.APPLIED)
        self.assertNotIn('b0', receiver.backends)

    def test_seeded_chains_end_with_the_registry_of_the_reader(self) -> None:
        """A reader, and VMs that learn along a chain at odd moments."""
        whole = 0
        for seed in range(HISTORIES):
            chain, told_whole = _play_chain(Random(seed))
            whole += told_whole
            for directory in chain[1:]:
                self._assert_alike(chain[0], directory, seed)
        self.assertGreater(whole, 0)

    def _assert_alike(
        self,
        reader: BackendDirectory,
        directory: BackendDirectory,
        seed: int,
    ) -> None:
        self.assertTrue(same(reader, directory), seed)
        self.assertEqual(reader.version, directory.version, seed)


def _play_chain(random: Random) -> tuple[list[BackendDirectory], int]:
    chain = [BackendDirectory() for _ in range(4)]
    told_whole = 0
    offset = 0
    for step in range(60):
        offset = _fold_some(chain[0], random, offset, step)
        for sender, receiver in zip(chain, chain[1:], strict=False):
            if random.uniform(0, 1) < 1 / 2:
                told_whole += _tell(sender, receiver)
    pairs = zip(chain, chain[1:], strict=False)
    told_whole += sum(_tell(sender, receiver) for sender, receiver in pairs)
    return chain, told_whole


def _fold_some(
    reader: BackendDirectory,
    random: Random,
    offset: int,
    now_s: float,
) -> int:
    number = random.randrange(9)
    kind = random.choice(('put', 'put', 'drain', 'gone', 'back', 'list'))
    record = registered(offset, number, is_draining=kind == 'drain')
    if kind == 'back':
        reader.start_return_grace(now_s)
    elif kind == 'list':
        reader.resync([record], offset + 1, now_s)
    else:
        reader.fold([gone(offset, number) if kind == 'gone' else record], now_s)
    reader.expire(now_s)
    return offset + 1


def _tell(sender: BackendDirectory, receiver: BackendDirectory) -> int:
    update = sender.update_since(receiver.version)
    outcome = receiver.apply_update(update)
    if outcome is UpdateOutcome.MISMATCH:
        assert update.base is not None
        receiver.apply_update(sender.update_since(None))
    return int(update.base is None or outcome is UpdateOutcome.MISMATCH)
