"""Replicated token buckets that follow the spending reported by other instances."""

from __future__ import annotations

import collections
from collections.abc import Mapping

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.published import Account
from skylarkcart.types import AccountId, InstanceId, Spending

MILLISECONDS_PER_SECOND = 1000.0

# Reports name the accounts that spent something within these steps, so that a lost
# report is made up by the next ones.
HISTORY_STEP_MS = 1_000.0
HISTORY_STEPS = 4

# A process that starts in a running fleet does not know what was spent before, so
# that it begins with this part of the burst.
INITIAL_PART = 0.25

# Requests that come back after a refusal leave this part of the burst to new ones: a
# new one can still be answered in time.
RESERVED_PART = 0.3

# Spending that was reported late may take the bucket below zero by this many seconds
# of the rate, about the operators' window. A smaller debt would forgive an account what
# it got too much from many instances at once.
MAX_DEBT_S = 4.0


class AccountQuota(msgspec.Struct, kw_only=True):
    """One account's bucket as this instance believes it to be.

    ``level`` is in requests. ``spent`` counts the requests admitted here since the
    start of the process; other instances learn it and deduct the difference.
    """

    account: AccountId
    rate_per_s: float
    burst: float
    level: float
    refilled_at: Millis
    spent: int = 0

    def refill(self, now: Millis, *, reachable_part: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at) / MILLISECONDS_PER_SECOND
        gained = elapsed_s * self.rate_per_s * reachable_part
        self.level = min(self.burst, self.level + gained)
        self.refilled_at = now

    def get_needed(self, *, is_returning: bool) -> float:
        """Returns the level at which a request is admitted."""
        needed = 1 + RESERVED_PART * self.burst if is_returning else 1
        return min(needed, self.burst)

    def deduct(self, requests: float) -> None:
        floor = -MAX_DEBT_S * self.rate_per_s
        self.level = max(min(floor, self.level), self.level - requests)


class Quotas:
    """The buckets of all accounts.

    ``reachable_part`` is the part of the fleet whose spending is being heard. The rest
    may be cut off and go on spending, so only this part of each rate is used here.
    """

    def __init__(self, *, initial_part: float = INITIAL_PART) -> None:
        self._initial_part = initial_part
        self._quotas: dict[AccountId, AccountQuota] = {}
        self._history: collections.deque[tuple[Millis, dict[AccountId, int]]] = (
            collections.deque(maxlen=HISTORY_STEPS)
        )
        self._heard: dict[tuple[InstanceId, int], dict[AccountId, int]] = {}
        self.reachable_part = 1.0

    def configure(self, accounts: Mapping[AccountId, Account], now: Millis) -> None:
        """Adopts the limits of a configuration version."""
        for account in accounts.values():
            quota = self._quotas.get(account.account)
            burst = max(1.0, account.burst)
            if quota is None:
                self._quotas[account.account] = AccountQuota(
                    account=account.account,
                    rate_per_s=account.rate_per_s,
                    burst=burst,
                    level=max(1.0, self._initial_part * burst),
                    refilled_at=now,
                )
                continue
            quota.refill(now, reachable_part=self.reachable_part)
            quota.rate_per_s = account.rate_per_s
            quota.burst = burst
            quota.level = min(quota.level, burst)
        for gone in set(self._quotas) - set(accounts):
            del self._quotas[gone]

    def try_spend(
        self, account: AccountId, now: Millis, *, is_returning: bool = False
    ) -> bool:
        """Takes a request's token, or returns False if the account is over its rate.

        A request that ``is_returning`` after a refusal is admitted only while the
        account has tokens to spare.
        """
        quota = self._quotas[account]
        if quota.rate_per_s <= 0:
            return True
        quota.refill(now, reachable_part=self.reachable_part)
        if quota.level < quota.get_needed(is_returning=is_returning):
            return False
        quota.level -= 1
        quota.spent += 1
        return True

    def get_level(self, account: AccountId) -> float:
        return self._quotas[account].level

    def give_back(self, account: AccountId) -> None:
        """Returns the token of a request that no upstream got."""
        quota = self._quotas.get(account)
        if quota is not None and quota.rate_per_s > 0:
            quota.level = min(quota.burst, quota.level + 1)

    def estimate_wait_ms(
        self, account: AccountId, *, is_returning: bool = False
    ) -> float:
        """Returns when a request would be admitted, if nobody else takes a token."""
        quota = self._quotas[account]
        missing = max(0.0, quota.get_needed(is_returning=is_returning) - quota.level)
        rate_per_s = quota.rate_per_s * self.reachable_part
        return missing / rate_per_s * MILLISECONDS_PER_SECOND

    def build_report(self, now: Millis) -> dict[AccountId, Spending]:
        """Returns what this process admitted, for accounts that were active lately."""
        if not self._history or now - self._history[-1][0] >= HISTORY_STEP_MS:
            totals = {quota.account: quota.spent for quota in self._quotas.values()}
            self._history.append((now, totals))
        earlier = self._history[0][1]
        return {
            quota.account: Spending(
                total=quota.spent, earlier=earlier.get(quota.account, 0)
            )
            for quota in self._quotas.values()
            if quota.spent > earlier.get(quota.account, 0)
        }

    def hear(
        self,
        instance: InstanceId,
        incarnation: int,
        spending: Mapping[AccountId, Spending],
        now: Millis,
    ) -> None:
        """Deducts what another instance spent since its last report.

        What a process spent before it was first heard was limited by its own bucket.
        """
        process = (instance, incarnation)
        is_new = process not in self._heard
        known = self._heard.setdefault(process, {})
        for account, spent in spending.items():
            base = known.get(account, spent.total if is_new else spent.earlier)
            known[account] = spent.total
            quota = self._quotas.get(account)
            if quota is not None and spent.total > base:
                quota.refill(now, reachable_part=self.reachable_part)
                quota.deduct(spent.total - base)

    def forget(self, instance: InstanceId, incarnation: int) -> None:
        self._heard.pop((instance, incarnation), None)
