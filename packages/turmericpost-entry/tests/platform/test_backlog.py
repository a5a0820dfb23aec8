"""Reads of the store by a VM that is many records behind."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable

from tests.platform.samples import CONFIG, ENTRY
from tests.platform.test_store_client import StoreHarness
from turmericpost.fleet.store_reader import ReaderCallbacks, StoreReader
from turmericpost.platform.store_client import StoreClient
from turmericpost.platform.store_codec import decode_keyed_read
from turmericpost.reactor_clock import ReactorClock
from turmericpost.store.record_log import LogBatch
from turmericpost_core.fleet.state import FleetState
from turmericpost_core.fleet.store_position import StorePosition
from turmericpost_core.membership.store_read_schedule import new_read_schedule

VERSIONS = 25
ROUTES = 700
SERVERS = 40
RENEWALS = 250
TIMEOUT_S = 5.0
STEP_S = 0.01


class ReadCounter:
    """Counts the bytes that a store reader transfers until a state is reached.

    The reader has already read the first record of each topic.
    """

    def __init__(self, store: StoreHarness) -> None:
        self.state = FleetState()
        self.state.apply_operator_records((), StorePosition(1))
        self.state.directory.next_offset = StorePosition(1)
        self.bytes = 0
        self._store = store
        self._reader = StoreReader(
            store.reactor,
            ReactorClock(store.reactor),
            StoreClient(store.reactor, store.address, self._count),
            self.state,
            new_read_schedule(2, 2),
            ReaderCallbacks(
                lambda: True,
                lambda: True,
                lambda _part: False,
                lambda _part: None,
                lambda _part, _begun_s: None,
            ),
        )

    def bytes_until(self, is_reached: Callable[[FleetState], bool]) -> int:
        """Read until the state is reached; return the bytes transferred."""
        self._store.run(lambda: self._read_until(is_reached))
        return self.bytes

    async def _read_until(
        self, is_reached: Callable[[FleetState], bool]
    ) -> None:
        self._reader.start()
        deadline_s = self._store.reactor.seconds() + TIMEOUT_S
        while self._store.reactor.seconds() < deadline_s:
            await self._store.pause(STEP_S)
            if is_reached(self.state):
                break
        else:
            raise TimeoutError
        self._reader.stop()

    def _count(self, count: int) -> None:
        self.bytes += count


def config_record(version: int) -> bytes:
    """Return a configuration with ``ROUTES`` routes as a record."""
    route = CONFIG['Routes'][0]
    routes = [
        {**route, 'Name': f'r{number}', 'PathPrefix': f'/a{number}/'}
        for number in range(ROUTES)
    ]
    config = {**CONFIG, 'Version': version, 'Routes': routes}
    return json.dumps(config).encode()


def has_version(version: int) -> Callable[[FleetState], bool]:
    """Return a function that tells whether a configuration is in force."""
    return lambda state: (
        state.config is not None and state.config.version == version
    )


class BacklogTest(unittest.TestCase):
    # Guards against requests that the old service runs for seconds, since a VM
    # on a slow link reads each of many versions before the newest one.
    def test_newest_configuration_is_not_behind_older_ones(self) -> None:
        store = StoreHarness()
        for version in range(VERSIONS + 1):
            record = config_record(version)
            store.service.put_keyed('keyed.op', 'config', record)
        read_bytes = ReadCounter(store).bytes_until(has_version(VERSIONS))
        self.assertLess(read_bytes, 4 * len(record))

    # Guards against an evacuation that is lost because newer versions of the
    # configuration follow it.
    def test_evacuation_within_the_backlog_is_in_force(self) -> None:
        store = StoreHarness()
        store.service.put_keyed('keyed.op', 'config', config_record(0))
        store.service.put_keyed('keyed.op', 'config', config_record(1))
        store.service.put_keyed('keyed.op', 'evacuate/nasr', b'{}')
        for version in range(2, VERSIONS + 1):
            record = config_record(version)
            store.service.put_keyed('keyed.op', 'config', record)
        counter = ReadCounter(store)
        read_bytes = counter.bytes_until(has_version(VERSIONS))
        self.assertEqual(counter.state.evacuated, {'nasr'})
        self.assertLess(read_bytes, 4 * len(record))

    # Guards against a VM that reads every renewal since it was cut off, and
    # sends requests to servers that have left meanwhile.
    def test_registry_is_not_behind_its_renewals(self) -> None:
        store = StoreHarness()
        for renewal in range(RENEWALS):
            for server in range(SERVERS):
                store.register(server, Seq=renewal, Version='v' * 100)
        store.service.put_keyed('keyed.servers', 'b0', b'')
        backlog_bytes = RENEWALS * SERVERS * len(json.dumps(ENTRY))
        read_bytes = ReadCounter(store).bytes_until(
            lambda state: len(state.directory.backends) == SERVERS - 1
        )
        self.assertLess(read_bytes, backlog_bytes / 3)

    # Guards against records that are never read, since a response left out even
    # the first one and the next read goes on from the end of the store.
    def test_response_without_records_skips_none(self) -> None:
        read = decode_keyed_read(
            StorePosition(3), LogBatch((), end_offset=9)
        ).unwrap()
        self.assertEqual((read.next_offset, read.end_offset), (3, 9))
        rewound = decode_keyed_read(
            StorePosition(3), LogBatch((), end_offset=2)
        ).unwrap()
        self.assertEqual(rewound.next_offset, 2)
