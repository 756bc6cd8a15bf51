"""The rate of this instance's requests in a sliding window."""

from __future__ import annotations

import collections

from skylarkcart.clock import Millis

MILLISECONDS_PER_SECOND = 1000.0

# A rate measured for less time says little about a window.
MIN_MEASURED_MS = 2_000.0


class RequestRate:
    """Counts the requests of the latest ``window_ms``.

    >>> rate = RequestRate(window_ms=10_000, now=Millis(0))
    >>> rate.record(Millis(500))
    >>> rate.get_per_s(Millis(4_000))
    0.25
    """

    def __init__(self, *, window_ms: float, now: Millis) -> None:
        self._window_ms = window_ms
        self._started_at = now
        self._times: collections.deque[Millis] = collections.deque()

    def record(self, now: Millis) -> None:
        self._remove_old(now)
        self._times.append(now)

    def get_per_s(self, now: Millis) -> float | None:
        """Returns the rate, or None if it was not measured for long enough."""
        measured_ms = min(self._window_ms, now - self._started_at)
        if measured_ms < MIN_MEASURED_MS:
            return None
        self._remove_old(now)
        return len(self._times) / measured_ms * MILLISECONDS_PER_SECOND

    def _remove_old(self, now: Millis) -> None:
        while self._times and now - self._times[0] >= self._window_ms:
            self._times.popleft()
