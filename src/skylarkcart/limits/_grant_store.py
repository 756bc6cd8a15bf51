"""Held grants, and the demand that determines how many tokens to request."""

from __future__ import annotations

import collections
import math

from skylarkcart.clock import Millis
from skylarkcart.limits._helpers import LEASE_DRIFT_RATIO
from skylarkcart.limits._messages import GrantState
from skylarkcart.types import AccountId, GrantId, InstanceId

# Tokens are prefetched for the expected demand of this time, about 100 round trips.
PREFETCH_MS = 100.0
DEMAND_TIME_CONSTANT_MS = 1_000.0

# With this divisor, eight instances prefetch at most half of an account's burst.
PREFETCH_BURST_DIVISOR = 16

# For an account with a smaller burst, tokens are requested only for waiting requests.
# Up to this burst, spending is reported at once, because outstanding grants often take
# up the whole bucket.
MAX_SMALL_BURST = PREFETCH_BURST_DIVISOR

# A refused request counts as waiting for a token for this time.
MAX_WAIT_MS = 100.0
RETURN_BEFORE_EXPIRY_MS = 150.0
GRANT_ID_RETENTION_MS = 3_000.0


class HeldGrant:
    """A held grant."""

    def __init__(
        self,
        *,
        grant: GrantId,
        account: AccountId,
        issuer: InstanceId,
        tokens: int,
        expires_at: Millis,
    ) -> None:
        self.grant = grant
        self.account = account
        self.issuer = issuer
        self.remaining = tokens
        self.expires_at = expires_at


class _AccountSupply:
    """The held grants and the demand of one account."""

    def __init__(self, now: Millis) -> None:
        self.burst = 1
        self.grants: collections.deque[HeldGrant] = collections.deque()
        self.waiting: collections.deque[Millis] = collections.deque()
        self._demand = 0.0
        self._demand_updated_at = now

    def record_arrival(self, now: Millis) -> None:
        self._demand = self._compute_demand(now) + 1
        self._demand_updated_at = now

    def _compute_demand(self, now: Millis) -> float:
        age_ms = now - self._demand_updated_at
        return self._demand * math.exp(-age_ms / DEMAND_TIME_CONSTANT_MS)

    def compute_prefetch(self, now: Millis) -> int:
        """Returns how many tokens to hold in advance of requests."""
        expected = self._compute_demand(now) * PREFETCH_MS / DEMAND_TIME_CONSTANT_MS
        return min(math.ceil(expected), self.burst // PREFETCH_BURST_DIVISOR)

    def count_waiting(self, now: Millis) -> int:
        while self.waiting and now - self.waiting[0] > MAX_WAIT_MS:
            self.waiting.popleft()
        return len(self.waiting)

    def count_tokens(self, now: Millis) -> int:
        return sum(held.remaining for held in self.grants if held.expires_at > now)


class GrantStore:
    """Holds grants and gives out their tokens; each time, it checks the expiry."""

    def __init__(self, *, now: Millis) -> None:
        self._supplies: dict[AccountId, _AccountSupply] = {}
        self._started_at = now
        self._seen_grants: dict[GrantId, Millis] = {}
        self._reports: dict[GrantId, tuple[InstanceId, GrantState]] = {}
        self.has_urgent_reports = False

    @property
    def accounts(self) -> list[AccountId]:
        return list(self._supplies)

    def configure(self, bursts: dict[AccountId, int]) -> None:
        """Sets the accounts and their total bursts; drops grants of other accounts."""
        for account in self._supplies.keys() - bursts.keys():
            del self._supplies[account]
        for account, burst in bursts.items():
            supply = self._supplies.setdefault(
                account, _AccountSupply(self._started_at)
            )
            supply.burst = burst

    def has_account(self, account: AccountId) -> bool:
        return account in self._supplies

    def record_arrival(self, account: AccountId, now: Millis) -> None:
        self._supplies[account].record_arrival(now)

    def record_waiting(self, account: AccountId, now: Millis) -> None:
        self._supplies[account].waiting.append(now)

    def record_served(self, account: AccountId) -> None:
        """Records that a waiting request got a token."""
        waiting = self._supplies[account].waiting
        if waiting:
            waiting.popleft()

    def take_token(self, account: AccountId, now: Millis) -> bool:
        """Takes one token from the grant that expires first."""
        supply = self._supplies[account]
        while supply.grants:
            held = supply.grants[0]
            if held.remaining > 0 and self._is_unexpired(held, now):
                held.remaining -= 1
                self._record_remaining(held, is_urgent=supply.burst <= MAX_SMALL_BURST)
                return True
            supply.grants.popleft()
        return False

    def _is_unexpired(self, held: HeldGrant, now: Millis) -> bool:
        return now < held.expires_at

    def add_grant(
        self,
        *,
        grant: GrantId,
        account: AccountId,
        issuer: InstanceId,
        tokens: int,
        ttl_ms: float,
        requested_at: Millis,
        now: Millis,
    ) -> bool:
        """Adds a grant, once; its lifetime counts from the time of the request."""
        if grant in self._seen_grants:
            return False
        self._seen_grants[grant] = now
        held = HeldGrant(
            grant=grant,
            account=account,
            issuer=issuer,
            tokens=tokens,
            expires_at=Millis(requested_at + ttl_ms * (1 - LEASE_DRIFT_RATIO)),
        )
        if account not in self._supplies or held.expires_at <= now:
            return False
        supply = self._supplies[account]
        supply.grants.append(held)
        supply.grants = collections.deque(
            sorted(supply.grants, key=lambda each: each.expires_at)
        )
        return True

    def return_late_grant(
        self,
        *,
        grant: GrantId,
        account: AccountId,
        issuer: InstanceId,
        tokens: int,
        now: Millis,
    ) -> None:
        """Returns a grant that came too late to be held."""
        if grant in self._seen_grants:
            return
        self._seen_grants[grant] = now
        state = GrantState(account=account, grant=grant, remaining=0, returned=tokens)
        self._reports[grant] = (issuer, state)
        self.has_urgent_reports = True

    def count_tokens(self, account: AccountId, now: Millis) -> int:
        return self._supplies[account].count_tokens(now)

    def compute_shortage(self, account: AccountId, now: Millis) -> int:
        """Returns how many tokens are needed beyond the held ones."""
        supply = self._supplies[account]
        waiting = supply.count_waiting(now)
        if not supply.burst // PREFETCH_BURST_DIVISOR:
            return waiting - supply.count_tokens(now) if waiting else 0
        return waiting + supply.compute_prefetch(now) - supply.count_tokens(now)

    def return_recalled_grants(self, grants: set[GrantId]) -> None:
        """Returns the grants that an issuer recalls."""
        for supply in self._supplies.values():
            for held in list(supply.grants):
                if held.grant in grants:
                    self._return_grant(supply, held)
                    self.has_urgent_reports = True

    def return_surplus(self, now: Millis) -> None:
        """Returns grants that exceed the demand or expire soon."""
        for supply in self._supplies.values():
            if not supply.grants:
                continue
            needed = 2 * supply.compute_prefetch(now) + supply.count_waiting(now)
            for held in reversed(list(supply.grants)):
                other_tokens = supply.count_tokens(now) - held.remaining
                left_ms = held.expires_at - now
                if left_ms <= RETURN_BEFORE_EXPIRY_MS or other_tokens >= needed:
                    self._return_grant(supply, held)

    def _return_grant(self, supply: _AccountSupply, held: HeldGrant) -> None:
        supply.grants.remove(held)
        tokens, held.remaining = held.remaining, 0
        state = GrantState(
            account=held.account, grant=held.grant, remaining=0, returned=tokens
        )
        self._reports[held.grant] = (held.issuer, state)

    def _record_remaining(self, held: HeldGrant, *, is_urgent: bool) -> None:
        state = GrantState(
            account=held.account, grant=held.grant, remaining=held.remaining
        )
        self._reports[held.grant] = (held.issuer, state)
        self.has_urgent_reports = self.has_urgent_reports or is_urgent

    def take_reports(self) -> dict[InstanceId, tuple[GrantState, ...]]:
        """Removes and returns the pending reports by issuer."""
        by_issuer: dict[InstanceId, list[GrantState]] = {}
        for issuer, state in self._reports.values():
            by_issuer.setdefault(issuer, []).append(state)
        self._reports = {}
        self.has_urgent_reports = False
        return {issuer: tuple(states) for issuer, states in by_issuer.items()}

    def remove_old_grants(self, now: Millis) -> None:
        """Removes ids of grants that have long expired at their issuer."""
        for grant, seen_at in list(self._seen_grants.items()):
            if now - seen_at > GRANT_ID_RETENTION_MS:
                del self._seen_grants[grant]
