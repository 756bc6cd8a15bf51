"""How much longer or shorter calls wait than the estimates say."""

from __future__ import annotations

# Each answer takes this part of the weight of the earlier ones.
FORGETTING = 0.02

# Before the first answers, estimates are taken as they are. In milliseconds of waits.
PRIOR_WAIT_MS = 400.0

MIN_FACTOR = 0.25
MAX_FACTOR = 4.0


class WaitBias:
    """Ratio of the waits of answered calls to those that were estimated for them.

    An estimate knows the load of each upstream only as of its last report, and counts
    on the best of them. Instances that choose at the same moment may find it taken.

    >>> bias = WaitBias()
    >>> for _ in range(200):
    ...     bias.record(estimated_ms=50, actual_ms=100)
    >>> round(bias.factor, 1)
    2.0
    """

    def __init__(self) -> None:
        self._estimated_ms = PRIOR_WAIT_MS
        self._actual_ms = PRIOR_WAIT_MS
        self.factor = 1.0

    def record(self, *, estimated_ms: float, actual_ms: float) -> None:
        """Records the wait of an answered call that was estimated before it began."""
        self._estimated_ms += estimated_ms - FORGETTING * self._estimated_ms
        self._actual_ms += actual_ms - FORGETTING * self._actual_ms
        factor = self._actual_ms / self._estimated_ms
        self.factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
