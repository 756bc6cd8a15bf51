"""Independent accounting of spent tokens, used to check the code under test."""

from __future__ import annotations

import msgspec

from skylarkcart.invariants import Invariant, check
from skylarkcart.types import AccountId

ROUNDING_TOLERANCE_TOKENS = 1e-6


class Limit(msgspec.Struct, frozen=True, kw_only=True):
    """A token bucket's burst in tokens and rate in tokens per ms."""

    burst: float
    rate_per_ms: float


class AccountLedger:
    """The balance that an account may still spend within its limit, and its counts.

    ``n <= burst + rate * d`` holds for the ``n`` tokens spent in every interval of
    ``d`` ms if and only if a bucket that starts full never falls below zero, so one
    balance checks all intervals.

    ``admissible`` counts the requests that a single bucket with all tokens would admit.
    """

    def __init__(self, *, limit: Limit, now: float, is_full: bool = True) -> None:
        self._limit = limit
        self._balance = limit.burst if is_full else 0.0
        self._refilled_at = now
        self._reference_balance = self._balance
        self._balance_after_refusals = self._balance
        self.spent = 0
        self.admissible = 0
        self.refused_within_rate = 0
        self.refused_over_rate = 0

    def set_limit(self, limit: Limit, now: float) -> None:
        self._refill(now)
        self._limit = limit
        self._balance = min(self._balance, limit.burst)
        self._reference_balance = min(self._reference_balance, limit.burst)
        self._balance_after_refusals = min(self._balance_after_refusals, limit.burst)

    def _refill(self, now: float) -> None:
        added = (now - self._refilled_at) * self._limit.rate_per_ms
        self._balance = min(self._limit.burst, self._balance + added)
        self._reference_balance = min(
            self._limit.burst, self._reference_balance + added
        )
        self._balance_after_refusals = min(
            self._limit.burst, self._balance_after_refusals + added
        )
        self._refilled_at = now

    def record_request(self, now: float) -> None:
        """Counts a request if a single bucket with all tokens would admit it."""
        self._refill(now)
        if self._reference_balance >= 1:
            self._reference_balance -= 1
            self.admissible += 1

    def record_spent_token(self, now: float) -> float:
        """Counts a spent token and returns the balance, negative above the limit."""
        self._refill(now)
        self.spent += 1
        self._balance -= 1
        self._balance_after_refusals -= 1
        return self._balance

    def record_refusal(self, now: float) -> None:
        """Counts a refusal as within rate if a token could have been spent.

        That token is then deducted, so that one unused token explains one refusal only.
        """
        self._refill(now)
        if self._balance_after_refusals >= 1:
            self._balance_after_refusals -= 1
            self.refused_within_rate += 1
        else:
            self.refused_over_rate += 1

    def start_counting(self) -> None:
        """Resets the counts but keeps the balances."""
        self.spent = self.refused_within_rate = self.refused_over_rate = (
            self.admissible
        ) = 0

    @property
    def refused_ratio(self) -> float:
        """Refusals within rate as a ratio of all requests within rate."""
        requests = self.spent + self.refused_within_rate
        return self.refused_within_rate / requests if requests else 0.0


class Ledger:
    """The ledgers of all accounts."""

    def __init__(self) -> None:
        self.accounts: dict[AccountId, AccountLedger] = {}

    def set_limits(self, limits: dict[AccountId, Limit], now: float) -> None:
        for account, limit in limits.items():
            if account in self.accounts:
                self.accounts[account].set_limit(limit, now)
            else:
                self.accounts[account] = AccountLedger(limit=limit, now=now)

    def record_spent_token(self, account: AccountId, now: float) -> None:
        balance = self.accounts[account].record_spent_token(now)
        check(
            balance >= -ROUNDING_TOLERANCE_TOKENS,
            Invariant.RATE_LIMIT,
            f"{account} has spent {-balance} tokens over its limit at {now} ms",
        )

    def record_request(self, account: AccountId, now: float) -> None:
        self.accounts[account].record_request(now)

    def record_refusal(self, account: AccountId, now: float) -> None:
        self.accounts[account].record_refusal(now)

    def start_counting(self) -> None:
        for account in self.accounts.values():
            account.start_counting()

    def compute_refused_ratio(self) -> float:
        refused = sum(account.refused_within_rate for account in self.accounts.values())
        spent = sum(account.spent for account in self.accounts.values())
        return refused / (refused + spent) if refused + spent else 0.0

    def compute_worst_refused_ratio(self) -> float:
        return max(account.refused_ratio for account in self.accounts.values())

    def compute_shortfall(self) -> float:
        """Returns the ratio of admissible requests that were not admitted."""
        admissible = sum(account.admissible for account in self.accounts.values())
        spent = sum(
            min(account.spent, account.admissible) for account in self.accounts.values()
        )
        return 1 - spent / admissible if admissible else 0.0
