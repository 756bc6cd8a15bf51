"""Simulated network and platform for the randomised configuration runs.

Both draw from the run's seeded random generator and use simulated time.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import random
from collections.abc import Callable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.config import ChangeDelta, WholeValue, encode_compact
from skylarkcart.declarations import AccountRow, Configuration, InstanceList
from skylarkcart.types import AccountId, ZoneId

LOSS_PROBABILITY = 0.10
DUPLICATION_PROBABILITY = 0.05
SLOW_DELIVERY_PROBABILITY = 0.02
ALTERED_DELTA_PROBABILITY = 0.05
TYPICAL_DELAY_RANGE_MS = (0.5, 20.0)
SLOW_DELAY_RANGE_MS = (100.0, 8_000.0)
FRESH_LIST_LAG_RANGE_MS = (200.0, 2_500.0)
STALE_LIST_LAG_RANGE_MS = (2_500.0, 20_000.0)

# A stale read returns one of this many most recent configurations.
STALE_READ_CANDIDATES = 20


class EventScheduler:
    """Runs callbacks in the order of their simulated time."""

    def __init__(self) -> None:
        self._entries: list[tuple[Millis, int, Callable[[Millis], None]]] = []
        self._sequence_numbers = itertools.count()

    def call_at(self, at: Millis, callback: Callable[[Millis], None]) -> None:
        heapq.heappush(self._entries, (at, next(self._sequence_numbers), callback))

    def run_until(self, end_at: Millis) -> None:
        while self._entries and self._entries[0][0] <= end_at:
            at, _, callback = heapq.heappop(self._entries)
            callback(at)


class LossyNetwork:
    """Loses, delays, reorders and duplicates messages, and partitions zones.

    Some deltas arrive altered, as a faulty peer could send them.
    """

    def __init__(
        self,
        *,
        scheduler: EventScheduler,
        rng: random.Random,
        response_delay_range_ms: tuple[float, float],
    ) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._response_delay_range_ms = response_delay_range_ms
        self._cut_pairs: set[frozenset[ZoneId]] = set()

    def set_partition(self, cut_pairs: set[frozenset[ZoneId]]) -> None:
        self._cut_pairs = cut_pairs

    def is_connected(self, one: ZoneId, other: ZoneId) -> bool:
        return one == other or frozenset((one, other)) not in self._cut_pairs

    def send(
        self,
        link: tuple[ZoneId, ZoneId],
        message: msgspec.Struct,
        deliver: Callable[[msgspec.Struct, Millis], None],
        now: Millis,
    ) -> None:
        if not self.is_connected(*link):
            return
        message = self._round_trip_json(message)
        copies = 2 if self._rng.random() < DUPLICATION_PROBABILITY else 1
        for _ in range(copies):
            if self._rng.random() >= LOSS_PROBABILITY:
                response_delay_ms = self._choose_response_delay_ms(message)
                sent_at = Millis(now + response_delay_ms)
                self.call_after_random_delay(sent_at, lambda at: deliver(message, at))

    def call_after_random_delay(
        self, now: Millis, callback: Callable[[Millis], None]
    ) -> None:
        """Schedules a callback after a random delay, occasionally a long one."""
        is_slow = self._rng.random() < SLOW_DELIVERY_PROBABILITY
        delay_ms = self._rng.uniform(
            *(SLOW_DELAY_RANGE_MS if is_slow else TYPICAL_DELAY_RANGE_MS)
        )
        self._scheduler.call_at(Millis(now + delay_ms), callback)

    def _choose_response_delay_ms(self, message: msgspec.Struct) -> float:
        if isinstance(message, (ChangeDelta, WholeValue)):
            return self._rng.uniform(*self._response_delay_range_ms)
        return 0.0

    def _round_trip_json(self, message: msgspec.Struct) -> msgspec.Struct:
        is_altered = self._rng.random() < ALTERED_DELTA_PROBABILITY
        if is_altered and isinstance(message, ChangeDelta) and message.accounts:
            row = message.accounts[0]
            row = msgspec.structs.replace(row, rate_per_s=row.rate_per_s + 1000)
            message = msgspec.structs.replace(message, accounts=(row,))
        return msgspec.json.decode(msgspec.json.encode(message), type=type(message))


class PlatformMode(enum.Enum):
    """What a zone gets when it reads from the platform."""

    FRESH = "fresh"
    STALE = "stale"
    DOWN = "down"


class FakePlatform:
    """Published configurations and instance lists; reads may be stale or fail."""

    def __init__(self, *, rng: random.Random, zones: tuple[ZoneId, ...]) -> None:
        self._rng = rng
        self.modes = dict.fromkeys(zones, PlatformMode.FRESH)
        self.published_values: list[bytes] = []
        self._published_lists: list[tuple[Millis, InstanceList]] = []
        self._configuration = _build_initial_configuration()

    @property
    def revision(self) -> int:
        return self._configuration.revision

    def publish(self, *, reuses_revision: bool = False) -> Configuration:
        """Publishes a change of one account: added, removed or with another rate.

        With ``reuses_revision`` the revision stays the same, as after an operator
        error.
        """
        increment = 0 if reuses_revision else self._rng.choice((1, 1, 1, 3))
        self._configuration = msgspec.structs.replace(
            self._configuration,
            revision=self._configuration.revision + increment,
            accounts=self._change_one_account(self._configuration.accounts),
        )
        self.published_values.append(encode_compact(self._configuration))
        return self._configuration

    def publish_list(self, instances: InstanceList, now: Millis) -> None:
        self._published_lists.append((now, instances))

    def read_configuration(self, zone: ZoneId) -> bytes | None:
        if self.modes[zone] is PlatformMode.DOWN:
            return None
        if self.modes[zone] is PlatformMode.FRESH:
            return self.published_values[-1]
        return self._rng.choice(self.published_values[-STALE_READ_CANDIDATES:])

    def read_instance_list(self, zone: ZoneId, now: Millis) -> InstanceList | None:
        mode = self.modes[zone]
        if mode is PlatformMode.DOWN:
            return None
        is_fresh = mode is PlatformMode.FRESH
        lag_ms = self._rng.uniform(
            *(FRESH_LIST_LAG_RANGE_MS if is_fresh else STALE_LIST_LAG_RANGE_MS)
        )
        visible_lists = [
            instances for at, instances in self._published_lists if at <= now - lag_ms
        ]
        return visible_lists[-1] if visible_lists else None

    def _change_one_account(
        self, accounts: tuple[AccountRow, ...]
    ) -> tuple[AccountRow, ...]:
        rows = list(accounts)
        draw = self._rng.random()
        if draw < 0.2 and len(rows) > 4:
            rows.pop(self._rng.randrange(len(rows)))
        elif draw < 0.4:
            rows.append(_build_account(f"member-{self._rng.getrandbits(40):010x}"))
        else:
            index = self._rng.randrange(len(rows))
            rate_per_s = float(self._rng.randint(1, 10**9))
            rows[index] = msgspec.structs.replace(rows[index], rate_per_s=rate_per_s)
        return tuple(rows)


def _build_account(name: str) -> AccountRow:
    return AccountRow(account=AccountId(name), rate_per_s=10, burst=20, share=1)


def _build_initial_configuration() -> Configuration:
    return Configuration(
        revision=1,
        max_instances=12,
        accounts=tuple(_build_account(f"member-{index}") for index in range(6)),
        services=(),
        zones=(),
        keys=(),
    )
