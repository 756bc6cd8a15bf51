"""Shares of accounts and callers in the requests of the last seconds."""

from __future__ import annotations

from collections.abc import Hashable

from skylarkcart.clock import Millis

# Time in which a count decays to half of its value.
HALF_LIFE_MS = 1_000.0

# A share above this many times the mean one counts no more, and one far below it still
# takes part, so that no caller is exempt.
MAX_WEIGHT = 4.0
MIN_WEIGHT = 0.1

MAX_NAMES = 512
NEGLIGIBLE_COUNT = 0.05


class RequestShares:
    """Decayed counts of requests by the name of who sent them.

    >>> shares = RequestShares()
    >>> for name in ("a", "a", "a", "b"):
    ...     shares.record(name, Millis(0))
    >>> shares.get_weight("a"), shares.get_weight("b")
    (1.5, 0.5)
    """

    def __init__(self) -> None:
        self._counts: dict[Hashable, float] = {}
        self._total = 0.0
        self._decayed_at = Millis(0.0)

    def record(self, name: Hashable, now: Millis) -> None:
        self._decay(now)
        if name not in self._counts and len(self._counts) >= MAX_NAMES:
            least = min(self._counts, key=self._counts.__getitem__)
            self._total -= self._counts.pop(least)
        self._counts[name] = self._counts.get(name, 0.0) + 1.0
        self._total += 1.0

    def get_weight(self, name: Hashable) -> float:
        """Returns the share of a name relative to the mean share."""
        if len(self._counts) < 2 or self._total <= 0.0:
            return 1.0
        mean = self._total / len(self._counts)
        weight = self._counts.get(name, 0.0) / mean
        return min(MAX_WEIGHT, max(MIN_WEIGHT, weight))

    def _decay(self, now: Millis) -> None:
        elapsed_ms = now - self._decayed_at
        if elapsed_ms < HALF_LIFE_MS / 10:
            return
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._decayed_at = now
        self._counts = {
            name: count * factor
            for name, count in self._counts.items()
            if count * factor >= NEGLIGIBLE_COUNT
        }
        self._total = sum(self._counts.values())
