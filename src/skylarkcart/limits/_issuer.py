"""Issues tokens of the accounts whose rights this instance holds.

The balance of a bucket plus its outstanding grants never exceeds the burst of the
zone's allocation. The outstanding tokens of a grant only decrease: when a report states
what remains, when the grant is returned, or when it expires. The time before such a
change is refilled with the tokens that were outstanding then, because the receiver may
have spent them just before the change.
"""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.invariants import Invariant, check
from skylarkcart.limits._allocation import (
    NO_ALLOCATION,
    ZoneAllocation,
    ZoneAllocations,
)
from skylarkcart.limits._helpers import GRANT_TTL_MS, REFILL_DRIFT_RATIO
from skylarkcart.limits._messages import GrantState, TokenRequest, TokenResponse
from skylarkcart.types import AccountId, GrantId, InstanceId

# A shorter grant would expire in transit.
MIN_GRANT_TTL_MS = 20.0

# Floating-point error of a balance after many additions.
ROUNDING_TOKENS = 1e-6


class Grant(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that the receiver may spend within ``ttl_ms`` after its request."""

    grant: GrantId
    tokens: int
    ttl_ms: float


class _Outstanding:
    def __init__(self, *, to: InstanceId, tokens: int, expires_at: Millis) -> None:
        self.to = to
        self.tokens = tokens
        self.expires_at = expires_at


class _Bucket:
    def __init__(
        self, *, allocation: ZoneAllocation, balance: float, now: Millis
    ) -> None:
        self.allocation = allocation
        self.outstanding: dict[GrantId, _Outstanding] = {}
        self.balance = min(balance, float(allocation.burst))
        self._refilled_at = now

    def count_outstanding(self) -> int:
        return sum(each.tokens for each in self.outstanding.values())

    def refill(self, now: Millis) -> None:
        """Refills up to ``now``; each grant is outstanding until it expires."""
        if self.outstanding:
            self._expire_grants(now)
        self._accrue(now)

    def _expire_grants(self, now: Millis) -> None:
        expired = [
            (each.expires_at, grant)
            for grant, each in self.outstanding.items()
            if each.expires_at <= now
        ]
        for expires_at, grant in sorted(expired):
            self._accrue(expires_at)
            del self.outstanding[grant]

    def _accrue(self, until: Millis) -> None:
        elapsed_ms = max(0.0, until - self._refilled_at)
        refilled = elapsed_ms * self.allocation.rate_per_ms * (1 - REFILL_DRIFT_RATIO)
        room = self.allocation.burst - self.count_outstanding()
        self.balance = max(0.0, min(self.balance + refilled, room))
        self._refilled_at = max(until, self._refilled_at)

    def check_burst(self, account: AccountId) -> None:
        total = self.balance + self.count_outstanding()
        check(
            self.balance >= 0 and total <= self.allocation.burst + ROUNDING_TOKENS,
            Invariant.RATE_LIMIT,
            f"{account}: balance and grants are {total}, "
            f"burst is {self.allocation.burst}",
        )


class Issuer:
    """The token buckets of accounts, each open while its right is held.

    The caller checks the right before each use; this class doesn't track leases.
    """

    def __init__(self, *, instance: InstanceId, incarnation: str) -> None:
        self._grant_prefix = f"{instance}/{incarnation}/"
        self._allocations: ZoneAllocations = {}
        self._buckets: dict[AccountId, _Bucket] = {}
        self._grant_count = 0

    def configure(self, allocations: ZoneAllocations, now: Millis) -> None:
        """Applies the zone's allocations; a smaller one reduces the balance at once."""
        self._allocations = allocations
        for account, bucket in self._buckets.items():
            bucket.refill(now)
            bucket.allocation = allocations.get(account, NO_ALLOCATION)
            bucket.refill(now)

    def open_bucket(
        self, account: AccountId, now: Millis, *, balance: float = 0.0
    ) -> None:
        """Opens a bucket for an acquired right; it is empty without a transfer."""
        allocation = self._allocations.get(account, NO_ALLOCATION)
        self._buckets[account] = _Bucket(
            allocation=allocation, balance=balance, now=now
        )

    def close(self, account: AccountId) -> None:
        """Removes the bucket of a lost right."""
        self._buckets.pop(account, None)

    def has_bucket(self, account: AccountId) -> bool:
        return account in self._buckets

    def get_balance(self, account: AccountId, now: Millis) -> float:
        bucket = self._buckets.get(account)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        return bucket.balance

    def take_token(self, account: AccountId, now: Millis) -> bool:
        """Takes one token directly from the balance, without a grant."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return False
        bucket.refill(now)
        if bucket.balance < 1:
            return False
        bucket.balance -= 1
        return True

    def grant(
        self,
        *,
        account: AccountId,
        tokens: int,
        to: InstanceId,
        lease_end: Millis,
        now: Millis,
    ) -> Grant | None:
        """Debits and returns a grant of up to ``tokens``, or None if impossible."""
        bucket = self._buckets.get(account)
        ttl_ms = min(GRANT_TTL_MS, lease_end - now)
        if bucket is None or ttl_ms < MIN_GRANT_TTL_MS:
            return None
        bucket.refill(now)
        amount = min(tokens, int(bucket.balance))
        if amount < 1:
            return None
        self._grant_count += 1
        grant = GrantId(f"{self._grant_prefix}{self._grant_count}")
        self._debit(bucket, grant, amount, to, Millis(now + ttl_ms))
        bucket.check_burst(account)
        return Grant(grant=grant, tokens=amount, ttl_ms=ttl_ms)

    def handle_request(
        self, message: TokenRequest, sender: InstanceId, lease_end: Millis, now: Millis
    ) -> TokenResponse:
        """Grants the requested tokens as far as the balance allows."""
        grant = self.grant(
            account=message.account,
            tokens=message.tokens,
            to=sender,
            lease_end=lease_end,
            now=now,
        )
        return TokenResponse(
            incarnation=message.incarnation,
            request=message.request,
            account=message.account,
            grant=grant.grant if grant else GrantId(""),
            tokens=grant.tokens if grant else 0,
            ttl_ms=grant.ttl_ms if grant else 0.0,
            left=self.get_balance(message.account, now),
        )

    def _debit(
        self,
        bucket: _Bucket,
        grant: GrantId,
        tokens: int,
        to: InstanceId,
        expires_at: Millis,
    ) -> None:
        bucket.balance -= tokens
        bucket.outstanding[grant] = _Outstanding(
            to=to, tokens=tokens, expires_at=expires_at
        )

    def record_report(self, state: GrantState, now: Millis) -> None:
        """Records what remains of a grant; tolerates late and repeated reports."""
        bucket = self._buckets.get(state.account)
        if bucket is None:
            return
        bucket.refill(now)
        grant = bucket.outstanding.get(state.grant)
        if grant is None:
            return
        returned = max(0, min(state.returned, grant.tokens))
        grant.tokens = max(0, min(grant.tokens, state.remaining))
        if grant.tokens == 0:
            del bucket.outstanding[state.grant]
        room = max(0.0, float(bucket.allocation.burst - bucket.count_outstanding()))
        bucket.balance = min(bucket.balance + returned, room)

    def list_outstanding(self, now: Millis) -> dict[InstanceId, list[GrantId]]:
        """Returns the unexpired grants of each receiver."""
        receivers: dict[InstanceId, list[GrantId]] = {}
        for bucket in self._buckets.values():
            bucket.refill(now)
            for grant, each in bucket.outstanding.items():
                receivers.setdefault(each.to, []).append(grant)
        return receivers
