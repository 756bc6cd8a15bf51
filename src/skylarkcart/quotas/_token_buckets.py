"""Token buckets that deduct the spending that other instances report."""

from __future__ import annotations

import collections
from collections.abc import Mapping, Set

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.published import Account
from skylarkcart.types import AccountId, InstanceId, Spending

MILLISECONDS_PER_SECOND = 1000.0

# Reports include the accounts that spent tokens within this history, so that the next
# reports make up for a lost one.
HISTORY_INTERVAL_MS = 1_000.0
HISTORY_LENGTH = 4

# A process that starts in a running fleet doesn't know how much has been spent. Its
# buckets start with this fraction of the burst.
INITIAL_FILL_FRACTION = 0.25

# Fraction of a bucket that is reserved for new requests, which can still be answered
# in time. Retries after a refusal don't get it.
RESERVED_RATIO = 0.3

# Limit of the debt from spending that was reported late, in seconds of the rate; about
# the window in which operators check the rate. With a smaller limit, an account that
# sends to many instances at once would keep part of its excess.
MAX_DEBT_S = 4.0

# Levels are recorded once in a round of reports. The history covers the time until an
# instance that is cut off counts as silent.
LEVEL_HISTORY_LENGTH = 10

# Smaller changes of the reachable fraction are not applied. In a large fleet, there is
# always some instance that was not heard of for long.
MIN_REACH_CHANGE = 0.02


class AccountQuota(msgspec.Struct, kw_only=True):
    """The token bucket of one account, as known to this instance.

    ``level`` is in requests. ``highest_level`` is the highest one so far: after a start
    the bucket is low because little is known, not because the account spends too much.
    ``unreachable_level`` is the part of the tokens that is left to the instances whose
    reports are not received, less what they have spent as far as it is known. What they
    spend is known only later, so that it has no upper limit. ``recent_levels`` are
    earlier levels with their times.
    ``spent`` counts the requests that this process admitted since its start. It is
    reported to the other instances, which deduct the increase.
    """

    account: AccountId
    rate_per_s: float
    burst: float
    level: float
    refilled_at: Millis
    highest_level: float = 0.0
    unreachable_level: float = 0.0
    recent_levels: collections.deque[tuple[Millis, float]] = msgspec.field(
        default_factory=lambda: collections.deque(maxlen=LEVEL_HISTORY_LENGTH)
    )
    spent: int = 0

    def refill(self, now: Millis, *, reachable_fraction: float) -> None:
        elapsed_s = max(0.0, now - self.refilled_at) / MILLISECONDS_PER_SECOND
        refilled = elapsed_s * self.rate_per_s
        capacity = self.get_capacity(reachable_fraction)
        if self.level < capacity:
            self.level = min(capacity, self.level + refilled * reachable_fraction)
        self.unreachable_level += refilled * (1.0 - reachable_fraction)
        self.highest_level = max(self.highest_level, self.level)
        self.refilled_at = now

    def get_capacity(self, reachable_fraction: float) -> float:
        """Returns the part of the burst of the instances whose reports are received."""
        return max(1.0, self.burst * reachable_fraction)

    def get_required_level(self, *, is_retry: bool, reachable_fraction: float) -> float:
        """Returns the lowest level at which a request is admitted."""
        capacity = self.get_capacity(reachable_fraction)
        reserve = RESERVED_RATIO * min(capacity, self.highest_level)
        return min(1 + reserve if is_retry else 1, capacity)

    def is_full_since_record(self, reachable_fraction: float) -> bool:
        """Whether the level was full when it was recorded last and still is."""
        return (
            bool(self.recent_levels)
            and self.recent_levels[-1][1] == self.level
            and self.level >= self.get_capacity(reachable_fraction)
        )

    def record_level(self, now: Millis) -> None:
        self.recent_levels.append((now, self.level))

    def leave_tokens(self, fraction: float, *, since: Millis) -> None:
        """Leaves a fraction of the tokens to instances that are not heard any more.

        They may have spent them since ``since``, as this instance may have. The level
        becomes negative if it has spent more than its own part.
        """
        level = next(
            (level for at, level in reversed(self.recent_levels) if at <= since),
            self.recent_levels[0][1] if self.recent_levels else self.level,
        )
        elapsed_s = max(0.0, self.refilled_at - since) / MILLISECONDS_PER_SECOND
        shared = min(self.burst, max(0.0, level) + elapsed_s * self.rate_per_s)
        self.level -= fraction * shared
        self.unreachable_level += fraction * shared

    def reclaim_tokens(self, fraction: float, *, reachable_fraction: float) -> None:
        """Takes back what instances that are heard again have left of their tokens."""
        reclaimed = fraction * self.unreachable_level
        self.unreachable_level -= reclaimed
        capacity = self.get_capacity(reachable_fraction)
        self.level = min(max(capacity, self.level), self.level + reclaimed)

    def deduct(self, requests: float) -> None:
        min_level = -MAX_DEBT_S * self.rate_per_s
        self.level = max(min(min_level, self.level), self.level - requests)


class Quotas:
    """The token buckets of all accounts.

    ``reachable_fraction`` is the fraction of the fleet whose reports are being
    received. The others may be partitioned and still admit requests, so that each part
    of the fleet has its fraction of the tokens: of those that were there when it was
    cut off, and of those that are refilled.
    """

    def __init__(self, *, initial_fill_fraction: float = INITIAL_FILL_FRACTION) -> None:
        self._initial_fill_fraction = initial_fill_fraction
        self._quotas: dict[AccountId, AccountQuota] = {}
        self._history: collections.deque[tuple[Millis, dict[AccountId, int]]] = (
            collections.deque(maxlen=HISTORY_LENGTH)
        )
        self._reported_totals: dict[tuple[InstanceId, int], dict[AccountId, int]] = {}
        self._silent: Set[InstanceId] = frozenset()
        self.reachable_fraction = 1.0

    def update_reach(
        self,
        fraction: float,
        *,
        silent: Set[InstanceId],
        silent_since: Millis,
        now: Millis,
    ) -> None:
        """Divides the tokens between the instances that are heard and the others.

        ``silent`` are the known instances that are not heard, and ``silent_since`` is
        the latest time at which one of them was heard.
        """
        previous = self.reachable_fraction
        if abs(fraction - previous) < MIN_REACH_CHANGE and fraction < 1.0:
            fraction, silent = previous, self._silent
        for quota in self._quotas.values():
            if fraction == previous and quota.is_full_since_record(fraction):
                continue
            quota.refill(now, reachable_fraction=previous)
            if fraction < previous:
                quota.leave_tokens((previous - fraction) / previous, since=silent_since)
            elif fraction > previous:
                quota.reclaim_tokens(
                    (fraction - previous) / (1.0 - previous),
                    reachable_fraction=fraction,
                )
            quota.record_level(now)
        self.reachable_fraction = fraction
        self._silent = silent

    def configure(self, accounts: Mapping[AccountId, Account], now: Millis) -> None:
        """Applies the account limits of a configuration version."""
        for account in accounts.values():
            quota = self._quotas.get(account.account)
            burst = max(1.0, account.burst)
            if quota is None:
                self._quotas[account.account] = AccountQuota(
                    account=account.account,
                    rate_per_s=account.rate_per_s,
                    burst=burst,
                    level=max(1.0, self._initial_fill_fraction * burst),
                    refilled_at=now,
                )
                continue
            quota.refill(now, reachable_fraction=self.reachable_fraction)
            quota.rate_per_s = account.rate_per_s
            quota.burst = burst
            quota.level = min(quota.level, burst)
            quota.unreachable_level = min(quota.unreachable_level, burst)
            quota.recent_levels.clear()
        for removed in set(self._quotas) - set(accounts):
            del self._quotas[removed]

    def try_spend(
        self, account: AccountId, now: Millis, *, is_retry: bool = False
    ) -> bool:
        """Takes a token for a request, or returns False if the level is too low.

        A request with ``is_retry``, made again after a refusal, doesn't get the tokens
        that are reserved for new requests.
        """
        quota = self._quotas[account]
        if quota.rate_per_s <= 0:
            return True
        quota.refill(now, reachable_fraction=self.reachable_fraction)
        if quota.level < self._get_required_level(quota, is_retry):
            return False
        quota.level -= 1
        quota.spent += 1
        return True

    def get_level(self, account: AccountId) -> float:
        return self._quotas[account].level

    def refund(self, account: AccountId) -> None:
        """Puts back the token of a request that was sent to no upstream.

        Other instances that have heard of the spending deduct no further one for it.
        """
        quota = self._quotas.get(account)
        if quota is not None and quota.rate_per_s > 0:
            quota.level = min(quota.burst, quota.level + 1)
            quota.spent = max(0, quota.spent - 1)

    def estimate_wait_ms(self, account: AccountId, *, is_retry: bool = False) -> float:
        """Returns the time until a request would be admitted if no other one is."""
        quota = self._quotas[account]
        required_level = self._get_required_level(quota, is_retry)
        missing_tokens = max(0.0, required_level - quota.level)
        rate_per_s = quota.rate_per_s * self.reachable_fraction
        return missing_tokens / rate_per_s * MILLISECONDS_PER_SECOND

    def build_report(self, now: Millis) -> dict[AccountId, Spending]:
        """Returns the spending of the recently active accounts in this process."""
        if not self._history or now - self._history[-1][0] >= HISTORY_INTERVAL_MS:
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

    def apply_peer_spending(
        self,
        instance: InstanceId,
        incarnation: int,
        spending: Mapping[AccountId, Spending],
        now: Millis,
    ) -> None:
        """Deducts what another instance has spent since its previous report.

        What it spent while it was silent is deducted from the tokens left to it.
        The first report of a process deducts nothing: its own bucket limited what it
        spent before.
        """
        process = (instance, incarnation)
        is_first_report = process not in self._reported_totals
        known_totals = self._reported_totals.setdefault(process, {})
        for account, spent in spending.items():
            previous_total = known_totals.get(
                account, spent.total if is_first_report else spent.earlier
            )
            known_totals[account] = spent.total
            quota = self._quotas.get(account)
            if quota is None or spent.total <= previous_total:
                continue
            quota.refill(now, reachable_fraction=self.reachable_fraction)
            if instance in self._silent:
                quota.unreachable_level -= spent.total - previous_total
            else:
                quota.deduct(spent.total - previous_total)

    def _get_required_level(self, quota: AccountQuota, is_retry: bool) -> float:
        return quota.get_required_level(
            is_retry=is_retry, reachable_fraction=self.reachable_fraction
        )

    def remove_process(self, instance: InstanceId, incarnation: int) -> None:
        self._reported_totals.pop((instance, incarnation), None)
