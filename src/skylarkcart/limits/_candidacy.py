"""The attempt to acquire a right, and the acquired right."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.limits._helpers import LEASE_DRIFT_RATIO, LEASE_MS, NEVER
from skylarkcart.limits._messages import BalanceTransfer
from skylarkcart.types import InstanceId

COUNTED_LEASE_MS = LEASE_MS * (1 - LEASE_DRIFT_RATIO)


class RightAcquired(msgspec.Struct, frozen=True, kw_only=True):
    """A right was acquired; ``transfers`` holds balances of the previous holder."""

    group: int
    epoch: int
    transfers: tuple[BalanceTransfer, ...] = ()


class RightLost(msgspec.Struct, frozen=True, kw_only=True):
    """A right expired, was released, or ended because of a pause."""

    group: int


RightChange = RightAcquired | RightLost


class Candidacy:
    """The members that agreed, each with the send time of its newest agreed attempt."""

    def __init__(self, *, first_attempt: int) -> None:
        self.first_attempt = first_attempt
        self.agreed_at: dict[InstanceId, Millis] = {}
        self.transfers: list[tuple[Millis, BalanceTransfer]] = []
        self.epoch = 0
        self.expires_at = NEVER

    @property
    def is_acquired(self) -> bool:
        return self.epoch > 0

    def compute_expiry(self, required: Iterable[InstanceId]) -> Millis:
        """Returns the earliest expiry among the agreements of the required members."""
        oldest = min(self.agreed_at.get(member, NEVER) for member in required)
        return Millis(oldest + COUNTED_LEASE_MS)

    def list_transfers(self, now: Millis) -> tuple[BalanceTransfer, ...]:
        return tuple(
            transfer
            for sent_at, transfer in self.transfers
            if now - sent_at < COUNTED_LEASE_MS
        )
