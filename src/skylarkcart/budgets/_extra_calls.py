"""This instance's share of a service's extra calls in a sliding window."""

from __future__ import annotations

import collections
import enum

import msgspec

from skylarkcart.budgets._usage import SharedUsage
from skylarkcart.clock import Millis

WINDOW_BUCKETS = 20

# The fleet's limit is counted at the upstreams, where calls of adjacent windows may
# arrive in the same one. An instance therefore uses only this fraction of its limit.
USABLE_RATIO = 0.95

# Fractions of the slack that are divided equally and by traffic. The rest covers
# callers that move to other instances: both may use the same part in one window.
EQUAL_FRACTION = 0.25
TRAFFIC_FRACTION = 0.70

# Fraction of the budget that hedges may use. The rest is reserved for retries, without
# which a request with a failed call gets no answer at all.
HEDGE_BUDGET_RATIO = 0.9

# Fraction of the fleet's limit that is used when its usage is known. The rest covers
# calls that are made before the others know of them.
SHARED_USABLE_RATIO = 0.8

# No further request gets extra calls while the others don't know yet of more calls of
# this instance than this part of its fraction of what is left.
MAX_UNHEARD_RATIO = 0.5

# When less than 1/3 of a shared budget is left, only the requests with the lowest ranks
# may use it, in proportion to what is left.
SHARED_RANK_FACTOR = 3.0


class ExtraCallKind(enum.Enum):
    """Why a request is sent to another upstream of the same service."""

    HEDGE = "hedge"
    RETRY = "retry"


class ExtraCallClaim:
    """The claim of one request to extra calls from budgets that the fleet shares.

    Its first extra call decides for all: a search that may repeat only some of its
    calls fails as a whole, and what it has used is lost. ``rank`` is a random number
    from 0 to 1; when a budget runs short, requests with low ranks still get calls.
    """

    def __init__(self, *, rank: float) -> None:
        self.rank = rank
        self.is_granted: bool | None = None


class FleetShare(msgspec.Struct, frozen=True, kw_only=True):
    """This instance's share of the fleet.

    ``size`` is the number of instances and ``traffic`` this one's fraction of their
    requests. A load balancer that hashes callers leaves many instances of a large fleet
    without requests; equal shares alone would leave theirs unused.
    """

    size: int
    traffic: float

    @property
    def fraction(self) -> float:
        """The fraction of what the fleet may use in all."""
        equal = EQUAL_FRACTION / max(1, self.size)
        return equal + TRAFFIC_FRACTION * self.traffic


class ExtraCallBudget:
    """The budget for extra calls of one service in this instance.

    In each window, the fleet may make ``ratio`` extra calls per request and ``slack``
    more. Each instance applies the ratio to its own requests and takes a share of the
    slack by its size and traffic (`FleetShare`), so that it needs no coordination
    before a call. In a large fleet that share is a small number of calls with a
    fraction. ``min_fraction``, above 0 and at
    most 1, is the lowest fraction that allows another call. If each instance draws it
    at random, the fleet uses the sum of all fractions.

    If the usage of the whole fleet is known (`SharedUsage`), the instances share one
    budget instead, whichever of them gets the requests. It goes to some requests for
    all their calls (`ExtraCallClaim`).

    >>> budget = ExtraCallBudget(
    ...     ratio=0.2, slack=56, window_ms=10_000, min_fraction=1.0, now=Millis(0)
    ... )
    >>> share = FleetShare(size=8, traffic=0.125)
    >>> budget.try_spend(ExtraCallKind.RETRY, now=Millis(1), share=share)
    True
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: float,
        min_fraction: float,
        now: Millis,
    ) -> None:
        if not 0 < min_fraction <= 1:
            raise ValueError(
                f"min_fraction is {min_fraction}, expected above 0 and at most 1"
            )
        self._min_fraction = min_fraction
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._bucket_ms = window_ms / WINDOW_BUCKETS
        self._started_at = now
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._requests = 0
        self._extra_calls = 0
        # Extra calls since the start.
        self.total_extra_calls = 0

    def record_request(self, now: Millis) -> None:
        """Counts the first call of a request."""
        self._requests += 1
        self._advance_window(now)[1] += 1

    def record_extra_call(self, now: Millis) -> None:
        self._extra_calls += 1
        self.total_extra_calls += 1
        self._advance_window(now)[2] += 1

    def count_requests(self, now: Millis) -> int:
        """Returns the number of requests in the current window."""
        self._advance_window(now)
        return self._requests

    def count_extra_calls(self, now: Millis) -> int:
        """Returns the number of extra calls in the current window."""
        self._advance_window(now)
        return self._extra_calls

    def get_remaining_calls(self, *, now: Millis, share: FleetShare) -> float:
        """Returns how many extra calls this instance may still make in this window."""
        self._advance_window(now)
        # A previous process may have used its share just before it ended.
        elapsed_ratio = min(1.0, (now - self._started_at) / self._window_ms)
        slack = self._slack * share.fraction * (0.5 + 0.5 * elapsed_ratio)
        return USABLE_RATIO * (self._ratio * self._requests + slack) - self._extra_calls

    def get_unused_fraction(
        self, *, now: Millis, share: FleetShare, shared: SharedUsage | None = None
    ) -> float:
        """Returns the unused fraction of the budget, from 0 to 1."""
        if shared is not None:
            limit = self._get_shared_limit(share, shared)
            return max(0.0, 1.0 - shared.extra_calls / max(1.0, limit))
        remaining = self.get_remaining_calls(now=now, share=share)
        return max(0.0, remaining / max(1.0, remaining + self._extra_calls))

    def try_spend(
        self,
        kind: ExtraCallKind,
        *,
        now: Millis,
        share: FleetShare,
        shared: SharedUsage | None = None,
        claim: ExtraCallClaim | None = None,
    ) -> bool:
        """Records an extra call and returns True if the budget allows it.

        Without a claim, the call is the only one that the request needs.
        """
        may_call = (
            self._may_use_own_share(kind, now, share)
            if shared is None
            else self._may_use_shared(
                kind, share, shared, claim or ExtraCallClaim(rank=0.0)
            )
        )
        if may_call:
            self.record_extra_call(now)
        return may_call

    def _may_use_own_share(
        self, kind: ExtraCallKind, now: Millis, share: FleetShare
    ) -> bool:
        remaining = self.get_remaining_calls(now=now, share=share)
        if kind is ExtraCallKind.HEDGE:
            remaining -= (1 - HEDGE_BUDGET_RATIO) * (remaining + self._extra_calls)
        return remaining >= self._min_fraction

    def _may_use_shared(
        self,
        kind: ExtraCallKind,
        share: FleetShare,
        shared: SharedUsage,
        claim: ExtraCallClaim,
    ) -> bool:
        limit = self._get_shared_limit(share, shared)
        remaining = limit - shared.extra_calls
        if kind is ExtraCallKind.HEDGE:
            remaining -= (1 - HEDGE_BUDGET_RATIO) * limit
        if claim.is_granted is None:
            max_unheard = MAX_UNHEARD_RATIO * remaining * share.fraction
            claim.is_granted = shared.not_included < max(1.0, max_unheard)
        return (
            claim.is_granted
            and remaining >= 1
            and claim.rank < SHARED_RANK_FACTOR * remaining / limit
        )

    def _get_shared_limit(self, share: FleetShare, shared: SharedUsage) -> float:
        settled_fraction = min(1.0, shared.settled_instances / max(1, share.size))
        slack = self._slack * settled_fraction
        return SHARED_USABLE_RATIO * (self._ratio * shared.requests + slack)

    def _advance_window(self, now: Millis) -> list[float]:
        bucket_start = now - now % self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != bucket_start:
            self._buckets.append([bucket_start, 0, 0])
        while self._buckets[0][0] + self._bucket_ms <= now - self._window_ms:
            _, requests, extra_calls = self._buckets.popleft()
            self._requests -= int(requests)
            self._extra_calls -= int(extra_calls)
        return self._buckets[-1]
