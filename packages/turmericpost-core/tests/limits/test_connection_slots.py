"""Tests of which connections a port keeps when there are too many."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from turmericpost_core.limits.connection_slots import (
    ConnectionSlots,
    ConnectionState,
)

_EVENTS = st.lists(
    st.tuples(
        st.sampled_from(('add', 'incomplete', 'busy', 'idle', 'remove')),
        st.integers(0, 9),
    ),
    max_size=60,
)


class ConnectionSlotsTest(unittest.TestCase):
    # Guards against connections that never send a request and keep callers
    # with requests out.
    def test_oldest_incomplete_connection_is_closed_first(self) -> None:
        slots = ConnectionSlots[str](3)
        for name in ('idle', 'old', 'new'):
            self.assertIsNone(slots.add(name))
        slots.mark('idle', ConnectionState.BUSY)
        slots.mark('idle', ConnectionState.IDLE)
        self.assertEqual(slots.add('first'), 'old')
        self.assertEqual(slots.add('second'), 'new')

    # Guards against idle connections that keep new callers out.
    def test_longest_idle_connection_is_closed_next(self) -> None:
        slots = ConnectionSlots[str](2)
        for name in ('a', 'b'):
            slots.add(name)
        slots.mark('b', ConnectionState.IDLE)
        slots.mark('a', ConnectionState.IDLE)
        self.assertEqual(slots.add('c'), 'b')
        slots.mark('c', ConnectionState.BUSY)
        self.assertEqual(slots.add('d'), 'a')

    # Guards against a new connection that ends the request of another one.
    def test_requests_in_progress_keep_their_connection(self) -> None:
        slots = ConnectionSlots[str](1)
        slots.add('a')
        slots.mark('a', ConnectionState.BUSY)
        self.assertEqual(slots.add('b'), 'b')
        self.assertEqual(len(slots), 1)

    # Guards against a connection that was closed for another one and takes its
    # place back.
    def test_closed_connection_gets_no_place(self) -> None:
        slots = ConnectionSlots[str](1)
        slots.add('a')
        self.assertEqual(slots.add('b'), 'a')
        slots.mark('a', ConnectionState.BUSY)
        slots.remove('a')
        self.assertEqual(len(slots), 1)

    # Guards against any order of events that exceeds the limit.
    @given(_EVENTS, st.integers(1, 4))
    def test_limit_holds(
        self, events: list[tuple[str, int]], max_connections: int
    ) -> None:
        slots = ConnectionSlots[int](max_connections)
        members: set[int] = set()
        busy: set[int] = set()
        for kind, number in events:
            if kind == 'add' and number not in members:
                closed = slots.add(number)
                self.assertNotIn(closed, busy)
                members = (members | {number}) - {closed}
            elif kind == 'remove':
                slots.remove(number)
                members.discard(number)
                busy.discard(number)
            elif kind != 'add':
                slots.mark(number, ConnectionState(kind))
                busy.discard(number)
                if kind == 'busy' and number in members:
                    busy.add(number)
            self.assertEqual(len(slots), len(members))
            self.assertLessEqual(len(slots), max_connections)


if __name__ == '__main__':
    unittest.main()
