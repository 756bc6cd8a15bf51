"""The times at which refused callers were told to come back."""

from __future__ import annotations

import collections
import enum
from collections.abc import Hashable

from skylarkcart.clock import Millis

# A caller may come back this much before its slot, by rounding and by its own clock.
EARLY_TOLERANCE_MS = 10.0

# A slot is kept for callers that come back later than they were told.
SLOT_GRACE_MS = 500.0

MAX_SLOTS = 4_096


class ReturnState(enum.Enum):
    """How a request relates to the slots that this instance handed out."""

    UNKNOWN = "unknown"
    EARLY = "early"
    DUE = "due"


class ReturnSlots:
    """Slots of Retry-After, in the order in which they were handed out.

    >>> slots = ReturnSlots()
    >>> slots.reserve("caller", "search", wait_ms=40, spacing_ms=5, now=Millis(0))
    40.0
    >>> slots.find_state("caller", Millis(40))
    <ReturnState.DUE: 'due'>
    """

    def __init__(self) -> None:
        self._due: dict[Hashable, collections.deque[Millis]] = {}
        self._order: collections.deque[tuple[Millis, Hashable]] = collections.deque()
        self._last_by_group: dict[Hashable, Millis] = {}

    def reserve(
        self,
        caller: Hashable,
        group: Hashable,
        *,
        wait_ms: float,
        spacing_ms: float,
        now: Millis,
        max_wait_ms: float = float("inf"),
    ) -> float:
        """Hands out the next slot and returns the time until it in ms.

        A caller that can't wait for its turn is told the latest time that it accepts,
        without a slot.
        """
        self._remove_expired(now)
        last = self._last_by_group.get(group, Millis(float("-inf")))
        due_at = Millis(max(now + wait_ms, last + spacing_ms))
        if due_at > now + max_wait_ms:
            return max_wait_ms
        self._last_by_group[group] = due_at
        if len(self._order) < MAX_SLOTS:
            self._due.setdefault(caller, collections.deque()).append(due_at)
            self._order.append((due_at, caller))
        return due_at - now

    def find_state(self, caller: Hashable, now: Millis) -> ReturnState:
        """Returns whether the caller has a slot, and whether it is due."""
        self._remove_expired(now)
        due_at = self.get_due_at(caller)
        if due_at is None:
            return ReturnState.UNKNOWN
        if now < due_at - EARLY_TOLERANCE_MS:
            return ReturnState.EARLY
        return ReturnState.DUE

    def get_due_at(self, caller: Hashable) -> Millis | None:
        """Returns the earliest slot of a caller, or None."""
        times = self._due.get(caller)
        return min(times) if times else None

    def use(self, caller: Hashable) -> None:
        """Removes the earliest slot of a caller that has come back."""
        times = self._due.get(caller)
        if not times:
            return
        times.remove(min(times))
        if not times:
            del self._due[caller]

    def _remove_expired(self, now: Millis) -> None:
        while self._order and now > self._order[0][0] + SLOT_GRACE_MS:
            due_at, caller = self._order.popleft()
            times = self._due.get(caller)
            if times and due_at in times:
                times.remove(due_at)
                if not times:
                    del self._due[caller]
        for group, last in list(self._last_by_group.items()):
            if now > last + SLOT_GRACE_MS:
                del self._last_by_group[group]
