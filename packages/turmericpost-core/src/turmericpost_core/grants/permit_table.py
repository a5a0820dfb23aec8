"""Permits in use: who holds which, and until when."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from turmericpost_core.grants.limits import HELD_CHECK_S
from turmericpost_core.grants.permits import PermitGrant, PermitRecord

_EXPIRY_SLACK_S = 0.5


class PermitTable:
    """The permits that a broker gave or took over, by their id."""

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._grants: dict[str, PermitRecord] = {}
        self._answers: dict[str, PermitGrant] = {}
        self._next_grant = 0

    def __contains__(self, permit_id: str) -> bool:
        """Return whether a permit is in use."""
        return permit_id in self._grants

    def new_id(self) -> str:
        """Return the id of the next permit."""
        self._next_grant += 1
        return f'{self._own_name}/{self._next_grant}'

    def answer_to(self, permit_request_id: str) -> PermitGrant | None:
        """Return the permit that an ask got, for when it comes again."""
        return self._answers.get(permit_request_id)

    def open(self, granted: PermitGrant, grant: PermitRecord) -> None:
        """Note a permit that was given."""
        self._grants[granted.permit_id] = grant
        self._answers[granted.request.permit_request_id] = granted

    def take_over(self, permit_id: str, grant: PermitRecord) -> None:
        """Note a permit that an earlier broker gave."""
        self._grants[permit_id] = grant

    def close(self, permit_id: str) -> PermitRecord | None:
        """Take a permit out; ``None`` if it is not in use."""
        return self._grants.pop(permit_id, None)

    def take_back(
        self, permit_request_id: str
    ) -> tuple[PermitGrant, PermitRecord] | None:
        """Take out the permit of an ask that nobody waits for any more."""
        granted = self._answers.pop(permit_request_id, None)
        if granted is None or granted.permit_id not in self._grants:
            return None
        return granted, self._grants.pop(granted.permit_id)

    def of_vm(self, requester: str) -> Iterator[str]:
        """Yield the permits that a VM holds."""
        for permit_id, grant in tuple(self._grants.items()):
            if grant.requester == requester:
                yield permit_id

    def dropped(
        self,
        requester: str,
        held_permits: Mapping[str, str],
        now_s: float,
    ) -> Iterator[str]:
        """Yield the permits of a VM that it does not list any more."""
        for permit_id in self.of_vm(requester):
            age_s = now_s - self._grants[permit_id].granted_s
            if age_s > HELD_CHECK_S and permit_id not in held_permits:
                yield permit_id

    def expired(self, now_s: float) -> Iterator[str]:
        """Yield the permits of calls that must have ended."""
        for permit_id, grant in tuple(self._grants.items()):
            if now_s > grant.expires_s + _EXPIRY_SLACK_S:
                yield permit_id

    def forget_old_answers(self, now_s: float) -> None:
        """Drop the answers kept for asks that come again."""
        self._answers = {
            permit_request_id: granted
            for permit_request_id, granted in self._answers.items()
            if now_s < granted.request.deadline_at_s
        }
