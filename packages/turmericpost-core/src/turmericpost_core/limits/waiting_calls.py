"""Bounded waiting of calls for a free slot, fair between client accounts."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

_Call = TypeVar('_Call')


class WaitingCalls(Generic[_Call]):
    """Waiting calls of one service; accounts take turns."""

    def __init__(self, max_calls: int) -> None:
        self.max_calls = max_calls
        self._count = 0
        self._by_account: OrderedDict[str, deque[_Call]] = OrderedDict()

    def __len__(self) -> int:
        """Return how many calls wait."""
        return self._count

    @property
    def is_full(self) -> bool:
        """Whether one more call must be refused."""
        return self._count >= self.max_calls

    def add(self, account: str, call: _Call) -> None:
        """Put a call behind the others of its account."""
        self._by_account.setdefault(account, deque()).append(call)
        self._count += 1

    def put_back(
        self,
        account: str,
        call: _Call,
        waiting_since_s: Callable[[_Call], float],
    ) -> None:
        """Put a call back behind those that have waited longer."""
        calls = self._by_account.setdefault(account, deque())
        begun_s = waiting_since_s(call)
        ahead = sum(waiting_since_s(other) <= begun_s for other in calls)
        calls.insert(ahead, call)
        self._count += 1

    def remove(self, account: str, call: _Call) -> None:
        """Take out a call that no longer waits."""
        calls = self._by_account[account]
        calls.remove(call)
        self._count -= 1
        if not calls:
            self._by_account.pop(account)

    def heads(self) -> Iterator[tuple[str, _Call]]:
        """Yield the first call of each account, in the order of turns."""
        for account, calls in self._by_account.items():
            yield account, calls[0]

    def newest(self) -> Iterator[_Call]:
        """Yield the last call of each account."""
        for calls in self._by_account.values():
            yield calls[-1]

    def calls(self) -> tuple[_Call, ...]:
        """Return every waiting call."""
        return tuple(
            call for calls in self._by_account.values() for call in calls
        )

    def take(self, account: str) -> _Call:
        """Take the first call of an account, whose turn then comes last."""
        calls = self._by_account[account]
        call = calls.popleft()
        self._count -= 1
        if calls:
            self._by_account.move_to_end(account)
        else:
            self._by_account.pop(account)
        return call
