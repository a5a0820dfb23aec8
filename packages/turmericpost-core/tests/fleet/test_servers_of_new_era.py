"""Servers that the store lacks after it has returned from a copy."""

from __future__ import annotations

import unittest

from tests.grants.samples import backend
from turmericpost_core.fleet.backends import Registration
from turmericpost_core.fleet.directory import BackendDirectory
from turmericpost_core.fleet.earlier_era import REREGISTRATION_GRACE_S
from turmericpost_core.fleet.store_position import new_position

_RETURN_S = 10.0


def _used(directory: BackendDirectory) -> set[str]:
    return {known.backend_id for known in directory.in_use()}


def _registered(era: int, offset: int, number: int) -> Registration:
    position = new_position(era, offset)
    return Registration(position, f'b{number}', backend(number))


class ServersOfNewEraTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = self._directory()
        self.reader.resync(
            [_registered(2, 0, 0)], new_position(2, 1), _RETURN_S
        )

    def test_reader_keeps_a_server_that_the_copy_lacks(self) -> None:
        self.assertIn('b1', _used(self.reader))
        self.reader.withhold(_RETURN_S + REREGISTRATION_GRACE_S - 0.1)
        self.assertIn('b1', _used(self.reader))
        self.reader.withhold(_RETURN_S + REREGISTRATION_GRACE_S)
        self.assertNotIn('b1', _used(self.reader))

    # Guards against live servers that are not used until they register again: a
    # VM that learned the era from another one dropped them with its own listing.
    def test_vm_with_an_update_keeps_a_server_that_the_copy_lacks(
        self,
    ) -> None:
        other = self._directory()
        other.apply_update(self.reader.update_since(other.version))
        self.assertIn('b1', _used(other))
        listed = [_registered(2, 0, 0)]
        other.resync(listed, new_position(2, 1), _RETURN_S + 0.1)
        self.assertIn('b1', _used(other))

    def _directory(self) -> BackendDirectory:
        directory = BackendDirectory()
        directory.apply_records(
            [_registered(1, 0, 0), _registered(1, 1, 1)], _RETURN_S - 5
        )
        return directory


if __name__ == '__main__':
    unittest.main()
