"""Adaptive limit of concurrent calls from one instance to one upstream."""

from __future__ import annotations

from skylarkcart.clock import Millis

DECREASE_FACTOR = 0.5
MIN_LIMIT = 1.0

# Calls in flight at a decrease were sent under the old limit. Without this interval,
# one burst of refusals would halve the limit several times.
DECREASE_INTERVAL_MS = 100.0


class ConcurrencyLimit:
    """Additive increase on success, multiplicative decrease on overload.

    Shed or failed calls and a rise in latency indicate overload.

    >>> limit = ConcurrencyLimit(initial=4)
    >>> limit.decrease(now=Millis(0))
    >>> limit.value
    2.0
    """

    def __init__(self, *, initial: float) -> None:
        self.value = max(MIN_LIMIT, float(initial))
        self._decreased_at: Millis | None = None

    def increase(self, *, in_flight: int, ceiling: float) -> None:
        """Raises the limit by one per ``value`` successes if it is fully used."""
        if in_flight + 1 >= self.value:
            self.value = min(max(MIN_LIMIT, ceiling), self.value + 1.0 / self.value)

    def decrease(self, *, now: Millis) -> None:
        last = self._decreased_at
        if last is not None and now - last < DECREASE_INTERVAL_MS:
            return
        self._decreased_at = now
        self.value = max(MIN_LIMIT, self.value * DECREASE_FACTOR)
