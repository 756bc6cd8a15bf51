"""Discrete-event scheduler and simulated network for randomised runs."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

import msgspec

from skylarkcart.types import ZoneId

Action = Callable[[], None]


class Schedule:
    """Runs actions in order of time; ``now`` is the simulated time in ms.

    It is the true time, which the clocks of simulated processes may not follow.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._event_count = 0

    def run_at(self, time: float, action: Action) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (max(time, self.now), self._event_count, action))

    def run_after(self, delay_ms: float, action: Action) -> None:
        self.run_at(self.now + delay_ms, action)

    def run_until(self, time: float) -> None:
        while self._events and self._events[0][0] <= time:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = time


class NetworkFaults(msgspec.Struct, frozen=True, kw_only=True):
    """Ratios of lost, duplicated and late messages, and the greatest delays in ms."""

    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    late_ratio: float = 0.0
    max_late_delay_in_zone_ms: float = 140.0
    max_late_delay_between_zones_ms: float = 4_000.0


NO_FAULTS = NetworkFaults()
FREQUENT_FAULTS = NetworkFaults(loss_ratio=0.03, duplicate_ratio=0.05, late_ratio=0.02)


class FakeNetwork:
    """Delays, loses, duplicates and reorders messages, and partitions zones."""

    def __init__(
        self, *, schedule: Schedule, random: random.Random, faults: NetworkFaults
    ) -> None:
        self._schedule = schedule
        self._random = random
        self.faults = faults
        self.isolated_zones: set[ZoneId] = set()
        self.sent_messages = 0

    def is_partitioned(self, one: ZoneId, other: ZoneId) -> bool:
        """Returns whether a partition separates two zones.

        A partitioned zone reaches only itself.
        """
        return one != other and bool({one, other} & self.isolated_zones)

    def send(self, origin: ZoneId, target: ZoneId, deliver: Action) -> None:
        self.sent_messages += 1
        copies = 1 + (self._random.random() < self.faults.duplicate_ratio)
        for _ in range(copies):
            if self._random.random() < self.faults.loss_ratio:
                continue
            delay_ms = self._choose_delay_ms(origin == target)
            self._schedule.run_after(
                delay_ms, lambda: self._deliver(origin, target, deliver)
            )

    def _deliver(self, origin: ZoneId, target: ZoneId, deliver: Action) -> None:
        if not self.is_partitioned(origin, target):
            deliver()

    def _choose_delay_ms(self, is_same_zone: bool) -> float:
        base_ms = 0.15 if is_same_zone else 0.5
        if self._random.random() < self.faults.late_ratio:
            max_delay_ms = (
                self.faults.max_late_delay_in_zone_ms
                if is_same_zone
                else self.faults.max_late_delay_between_zones_ms
            )
            return self._random.uniform(base_ms, max_delay_ms)
        return base_ms * self._random.uniform(1.0, 1.6)
