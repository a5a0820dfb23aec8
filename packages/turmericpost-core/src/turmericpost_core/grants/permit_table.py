"""Table of the permits in use with their holders and expiry times."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from turmericpost_core.grants.limits import UNLISTED_GRACE_S
from turmericpost_core.grants.permits import PermitGrant, PermitRecord

_EXPIRY_SLACK_S = 0.5


class PermitTable:
    """Permits that a broker granted or adopted, keyed by permit id.

    Also keeps grants by request id, so that a duplicate request gets the
    same permit again.
    """

    def __init__(self, own_name: str) -> None:
        self._own_name = own_name
        self._records: dict[str, PermitRecord] = {}
        self._grants_by_request: dict[str, PermitGrant] = {}
        self._next_number = 0

    def __contains__(self, permit_id: str) -> bool:
        """Return whether a permit is in use."""
        return permit_id in self._records

    def new_permit_id(self) -> str:
        """Return a new permit id.

        It contains the broker's name, which changes with each start, so that
        ids are not used again after a restart.
        """
        self._next_number += 1
        return f'{self._own_name}/{self._next_number}'

    def grant_for_request(self, permit_request_id: str) -> PermitGrant | None:
        """Return the grant that a request already got, if any."""
        return self._grants_by_request.get(permit_request_id)

    def add_grant(self, grant: PermitGrant, record: PermitRecord) -> None:
        """Add a permit that this broker granted."""
        self._records[grant.permit_id] = record
        self._grants_by_request[grant.request.permit_request_id] = grant

    def adopt(self, permit_id: str, record: PermitRecord) -> None:
        """Add a permit that an earlier broker granted."""
        self._records[permit_id] = record

    def pop_permit(self, permit_id: str) -> PermitRecord | None:
        """Remove and return a permit; ``None`` if it is not in use."""
        return self._records.pop(permit_id, None)

    def revoke(
        self, permit_request_id: str
    ) -> tuple[PermitGrant, PermitRecord] | None:
        """Remove and return the permit of a cancelled request.

        Returns ``None`` if the request has no permit in use.
        """
        grant = self._grants_by_request.pop(permit_request_id, None)
        if grant is None or grant.permit_id not in self._records:
            return None
        return grant, self._records.pop(grant.permit_id)

    def permits_of_vm(self, requester: str) -> Iterator[str]:
        """Yield the ids of the permits that a VM holds."""
        for permit_id, record in tuple(self._records.items()):
            if record.requester == requester:
                yield permit_id

    def unlisted_permits(
        self,
        requester: str,
        held_permits: Mapping[str, str],
        now_s: float,
    ) -> Iterator[str]:
        """Yield the ids of a VM's permits missing from ``held_permits``.

        Permits younger than ``UNLISTED_GRACE_S`` are left out.
        """
        for permit_id in self.permits_of_vm(requester):
            age_s = now_s - self._records[permit_id].granted_s
            if age_s > UNLISTED_GRACE_S and permit_id not in held_permits:
                yield permit_id

    def expired_permits(self, now_s: float) -> Iterator[str]:
        """Yield the ids of the permits past their expiry time."""
        for permit_id, record in tuple(self._records.items()):
            if now_s > record.expires_s + _EXPIRY_SLACK_S:
                yield permit_id

    def forget_old_grants(self, now_s: float) -> None:
        """Drop the stored grants of requests whose deadlines have passed."""
        self._grants_by_request = {
            permit_request_id: grant
            for permit_request_id, grant in self._grants_by_request.items()
            if now_s < grant.request.deadline_at_s
        }
