"""Equal static allocations of each limit: a baseline for measurements.

Each instance gets ``1 / max_instances`` of the rate and burst. This needs no messages
and never exceeds the rate, but refuses requests when they arrive unevenly.
"""

from __future__ import annotations

from skylarkcart.clock import Millis
from skylarkcart.declarations import AccountRow
from skylarkcart.types import AccountId

MILLISECONDS_PER_SECOND = 1000.0


class StaticAllocations:
    """Token buckets that hold an equal allocation of each account's rate and burst."""

    def __init__(self, *, now: Millis) -> None:
        self._buckets: dict[AccountId, _Bucket] = {}
        self._started_at = now

    def configure(
        self, *, accounts: tuple[AccountRow, ...], max_instances: int, now: Millis
    ) -> None:
        """Applies a configuration; keeps the balances of known accounts."""
        buckets = {}
        for row in accounts:
            bucket = self._buckets.get(row.account) or _Bucket(now=now)
            bucket.refill(now)
            bucket.rate_per_ms = (
                row.rate_per_s / max_instances / MILLISECONDS_PER_SECOND
            )
            bucket.capacity = row.burst / max_instances
            bucket.balance = min(bucket.balance, bucket.capacity)
            buckets[row.account] = bucket
        self._buckets = buckets

    def try_spend(self, *, account: AccountId, now: Millis) -> bool:
        """Takes one token; returns False if the account has none."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return False
        bucket.refill(now)
        if bucket.balance < 1:
            return False
        bucket.balance -= 1
        return True


class _Bucket:
    """A token bucket that starts empty, so that a restart adds no burst."""

    def __init__(self, *, now: Millis) -> None:
        self.rate_per_ms = 0.0
        self.capacity = 0.0
        self.balance = 0.0
        self._refilled_at = now

    def refill(self, now: Millis) -> None:
        refilled = (now - self._refilled_at) * self.rate_per_ms
        self.balance = min(self.capacity, self.balance + refilled)
        self._refilled_at = now
