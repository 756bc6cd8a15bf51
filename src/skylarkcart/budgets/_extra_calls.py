"""This instance's part of a service's extra calls in a sliding window."""

from __future__ import annotations

import collections
import enum

from skylarkcart.clock import Millis

BUCKETS = 20

# The fleet's bound counts at the upstreams, where calls of neighbouring windows may
# arrive together, so that an instance keeps this part of its own bound.
USED_PART = 0.95

# Hedges leave this part of the budget to calls that replace a failed one, without
# which a request gets no answer at all.
HEDGED_PART = 0.9


class ExtraCallKind(enum.Enum):
    """Why a request is sent to another upstream of the same service."""

    HEDGE = "hedge"
    RETRY = "retry"


class ExtraCalls:
    """Counts the requests and extra calls of one service.

    The fleet may make ``ratio`` extra calls for each request of a window and ``slack``
    more. Each instance uses the ratio for its own requests and an equal part of the
    slack, so that no message is needed before a call. In a large fleet that part is a
    few calls and a fraction; ``rounding``, above 0 and at most 1, is the least fraction
    that allows one more. Drawn at random by each instance, it lets the fleet use the
    sum of all fractions.

    >>> calls = ExtraCalls(
    ...     ratio=0.2, slack=56, window_ms=10_000, rounding=1.0, now=Millis(0)
    ... )
    >>> calls.try_spend(ExtraCallKind.RETRY, now=Millis(1), fleet_size=8)
    True
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_ms: float,
        rounding: float,
        now: Millis,
    ) -> None:
        if not 0 < rounding <= 1:
            raise ValueError(f"rounding is {rounding}, expected above 0 and at most 1")
        self._rounding = rounding
        self._ratio = ratio
        self._slack = slack
        self._window_ms = window_ms
        self._bucket_ms = window_ms / BUCKETS
        self._started_at = now
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._requests = 0
        self._extra = 0

    def note_request(self, now: Millis) -> None:
        """Counts the first call of a request."""
        self._requests += 1
        self._get_bucket(now)[1] += 1

    def note_extra(self, now: Millis) -> None:
        self._extra += 1
        self._get_bucket(now)[2] += 1

    def count_requests(self, now: Millis) -> int:
        """Returns the requests in the current window."""
        self._get_bucket(now)
        return self._requests

    def get_left(self, *, now: Millis, fleet_size: int) -> float:
        """Returns how many extra calls this instance may still make now."""
        self._get_bucket(now)
        # A process before this one may have used its part just before it ended.
        age = min(1.0, (now - self._started_at) / self._window_ms)
        slack = self._slack / max(1, fleet_size) * (0.5 + 0.5 * age)
        return USED_PART * (self._ratio * self._requests + slack) - self._extra

    def get_free_part(self, *, now: Millis, fleet_size: int) -> float:
        """Returns the unused part of the budget, from 0 to 1."""
        left = self.get_left(now=now, fleet_size=fleet_size)
        return max(0.0, left / max(1.0, left + self._extra))

    def try_spend(self, kind: ExtraCallKind, *, now: Millis, fleet_size: int) -> bool:
        """Counts an extra call if the budget has room for it."""
        left = self.get_left(now=now, fleet_size=fleet_size)
        if kind is ExtraCallKind.HEDGE:
            left -= (1 - HEDGED_PART) * (left + self._extra)
        if left < self._rounding:
            return False
        self.note_extra(now)
        return True

    def _get_bucket(self, now: Millis) -> list[float]:
        start = now - now % self._bucket_ms
        if not self._buckets or self._buckets[-1][0] != start:
            self._buckets.append([start, 0, 0])
        while self._buckets[0][0] + self._bucket_ms <= now - self._window_ms:
            _, requests, extra = self._buckets.popleft()
            self._requests -= int(requests)
            self._extra -= int(extra)
        return self._buckets[-1]
