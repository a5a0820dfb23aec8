"""Bounded queue of calls that wait for a free slot, fair among accounts."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

_Call = TypeVar('_Call')


class WaitingCalls(Generic[_Call]):
    """Queue of the waiting calls of one service.

    Client accounts are served in turn (round robin), and the calls of one
    account in order of arrival.
    """

    def __init__(self, max_calls: int) -> None:
        self.max_calls = max_calls
        self._count = 0
        self._by_account: OrderedDict[str, deque[_Call]] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether the queue has no room for another call."""
        return self._count >= self.max_calls

    def add(self, account: str, call: _Call) -> None:
        """Append a call to the queue of its account."""
        self._by_account.setdefault(account, deque()).append(call)
        self._count += 1

    def reinsert(
        self,
        account: str,
        call: _Call,
        waiting_since_s: Callable[[_Call], float],
    ) -> None:
        """Put a call back behind those of its account that waited longer.

        ``waiting_since_s`` returns the time from which a call has waited.
        """
        calls = self._by_account.setdefault(account, deque())
        begun_s = waiting_since_s(call)
        earlier_calls = sum(
            waiting_since_s(other) <= begun_s for other in calls
        )
        calls.insert(earlier_calls, call)
        self._count += 1

    def remove(self, account: str, call: _Call) -> None:
        """Remove a queued call of an account."""
        calls = self._by_account[account]
        calls.remove(call)
        self._count -= 1
        if not calls:
            self._by_account.pop(account)

    def next_by_account(self) -> Iterator[tuple[str, _Call]]:
        """Yield each account with its first call, in the order of service."""
        for account, calls in self._by_account.items():
            yield account, calls[0]

    def last_by_account(self) -> Iterator[_Call]:
        """Yield the last call of each account."""
        for calls in self._by_account.values():
            yield calls[-1]

    def calls(self) -> tuple[_Call, ...]:
        """Return every waiting call."""
        return tuple(
            call for calls in self._by_account.values() for call in calls
        )

    def pop_next(self, account: str) -> _Call:
        """Remove and return an account's first call.

        The account is then served after all others.
        """
        calls = self._by_account[account]
        call = calls.popleft()
        self._count -= 1
        if calls:
            self._by_account.move_to_end(account)
        else:
            self._by_account.pop(account)
        return call
