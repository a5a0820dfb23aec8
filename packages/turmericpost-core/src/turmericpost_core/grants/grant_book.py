"""Permits in use: who holds which, and until when."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from turmericpost_core.grants.limits import HELD_CHECK_S
from turmericpost_core.grants.permits import Grant, Granted

_EXPIRY_SLACK_S = 0.5


class GrantBook:
    """The permits that a broker gave or took over, by their id."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._grants: dict[str, Grant] = {}
        self._answers: dict[str, Granted] = {}
        self._next_grant = 0

    def __contains__(self, grant_id: str) -> bool:
        """Return whether a permit is in use."""
        return grant_id in self._grants

    def new_id(self) -> str:
        """Return the id of the next permit."""
        self._next_grant += 1
        return f'{self._own_name}/{self._next_grant}'

    def answer_to(self, ask_id: str) -> Granted | None:
        """Return the permit that an ask got, for when it comes again."""
        return self._answers.get(ask_id)

    def open(self, granted: Granted, grant: Grant) -> None:
        """Note a permit that was given."""
        self._grants[granted.grant_id] = grant
        self._answers[granted.ask.ask_id] = granted

    def take_over(self, grant_id: str, grant: Grant) -> None:
        """Note a permit that an earlier broker gave."""
        self._grants[grant_id] = grant

    def close(self, grant_id: str) -> Grant | None:
        """Take a permit out; ``None`` if it is not in use."""
        return self._grants.pop(grant_id, None)

    def take_back(self, ask_id: str) -> tuple[Granted, Grant] | None:
        """Take out the permit of an ask that nobody waits for any more."""
        granted = self._answers.pop(ask_id, None)
        if granted is None or granted.grant_id not in self._grants:
            return None
        return granted, self._grants.pop(granted.grant_id)

    def of_vm(self, asker: str) -> Iterator[str]:
        """Yield the permits that a VM holds."""
        for grant_id, grant in tuple(self._grants.items()):
            if grant.asker == asker:
                yield grant_id

    def dropped(
        self,
        asker: str,
        holds: Mapping[str, str],
        now_s: float,
    ) -> Iterator[str]:
        """Yield the permits of a VM that it does not list any more."""
        for grant_id in self.of_vm(asker):
            age_s = now_s - self._grants[grant_id].granted_s
            if age_s > HELD_CHECK_S and grant_id not in holds:
                yield grant_id

    def expired(self, now_s: float) -> Iterator[str]:
        """Yield the permits of calls that must have ended."""
        for grant_id, grant in tuple(self._grants.items()):
            if now_s > grant.expires_s + _EXPIRY_SLACK_S:
                yield grant_id

    def forget_old_answers(self, now_s: float) -> None:
        """Drop the answers kept for asks that come again."""
        self._answers = {
            ask_id: granted
            for ask_id, granted in self._answers.items()
            if now_s < granted.ask.deadline_at_s
        }
