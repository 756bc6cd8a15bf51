"""The consents that a member has given: one candidate per group at a time."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.limits._helpers import LEASE_MS, QUARANTINE_MS
from skylarkcart.types import InstanceId


class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """A process that asks for rights, with the number of its attempt."""

    instance: InstanceId
    incarnation: str
    attempt: int

    def is_same_process(self, other: Candidate) -> bool:
        return (self.instance, self.incarnation) == (other.instance, other.incarnation)


class _Agreement(msgspec.Struct, frozen=True, kw_only=True):
    candidate: Candidate
    expires_at: Millis


class Agreements:
    """The consents of one member in one group space, each valid for ``LEASE_MS``.

    The time counts from the receipt of the request. A restarted process has lost its
    earlier consents: it agrees to a new candidate only after these have expired, or
    after it has agreed to a renewal by a holder of the group since its start.
    """

    def __init__(self, *, started_at: Millis) -> None:
        self._started_at = started_at
        self._agreements: dict[int, _Agreement] = {}
        self._renewed_groups: set[int] = set()

    def find_candidate(self, group: int, now: Millis) -> InstanceId | None:
        """Returns the candidate that this member currently agrees to."""
        agreement = self._agreements.get(group)
        if agreement is None or agreement.expires_at <= now:
            return None
        return agreement.candidate.instance

    def agree(
        self, group: int, candidate: Candidate, *, is_holding: bool, now: Millis
    ) -> bool:
        """Agrees to a renewal or a new candidate if no earlier consent forbids it."""
        if not self._has_no_conflict(group, candidate, now):
            return False
        if not is_holding and not self._may_agree_to_new_candidate(group, now):
            return False
        self.set(group, candidate, now)
        if is_holding:
            self._renewed_groups.add(group)
        return True

    def set(self, group: int, candidate: Candidate, now: Millis) -> None:
        """Records an agreement without checks, as for this member's own candidacy."""
        self._agreements[group] = _Agreement(
            candidate=candidate, expires_at=Millis(now + LEASE_MS)
        )

    def withdraw(self, group: int) -> None:
        """Ends the agreement to this member's own candidacy."""
        self._agreements.pop(group, None)

    def release(self, group: int, candidate: Candidate, now: Millis) -> None:
        """Ends an agreement at the request of its candidate.

        The attempt number is kept, so that a renewal that arrives after the release it
        preceded is not agreed to.
        """
        agreement = self._agreements.get(group)
        if agreement is None or not agreement.candidate.is_same_process(candidate):
            return
        if agreement.candidate.attempt <= candidate.attempt:
            self._agreements[group] = _Agreement(candidate=candidate, expires_at=now)

    def _has_no_conflict(self, group: int, candidate: Candidate, now: Millis) -> bool:
        agreement = self._agreements.get(group)
        if agreement is None:
            return True
        if agreement.candidate.is_same_process(candidate):
            return candidate.attempt > agreement.candidate.attempt
        return agreement.expires_at <= now

    def _may_agree_to_new_candidate(self, group: int, now: Millis) -> bool:
        is_past_quarantine = now - self._started_at >= QUARANTINE_MS
        return is_past_quarantine or group in self._renewed_groups
