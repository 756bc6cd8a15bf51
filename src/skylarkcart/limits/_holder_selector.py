"""Selects the instances to request tokens from."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.limits._allocation import (
    NO_ALLOCATION,
    ZoneAllocation,
    ZoneAllocations,
)
from skylarkcart.limits._messages import MemberView
from skylarkcart.types import AccountId, InstanceId, ZoneId

# A zone without an estimated token is asked again after this time, even if its next
# token is expected later.
RECHECK_DELAY_MS = 50.0

# A zone that is between two holders usually has a new one after a few round trips.
HANDOVER_DELAY_MS = 5.0

INSTANCE_BACKOFF_MS = 1_000.0

# A zone that timed out is asked again after this time, doubled at each further timeout.
ZONE_BACKOFF_MS = 200.0
MAX_ZONE_BACKOFF_MS = 1_600.0


class RequestTarget(msgspec.Struct, frozen=True, kw_only=True):
    """An instance to ask: the holder in ``zone``, or one that may know the holder."""

    zone: ZoneId
    instance: InstanceId
    tokens: int


class _BalanceEstimate(msgspec.Struct, frozen=True, kw_only=True):
    tokens: float
    estimated_at: Millis
    recheck_at: Millis


class HolderSelector:
    """Tracks the holders of rights in all zones and estimates their balances."""

    def __init__(
        self, *, instance: InstanceId, zone: ZoneId, random: random.Random
    ) -> None:
        self._instance = instance
        self._zone = zone
        self._random = random
        self._allocations: dict[ZoneId, ZoneAllocations] = {}
        self._members: dict[ZoneId, list[InstanceId]] = {}
        self._zones_by_instance: dict[InstanceId, ZoneId] = {}
        self._holders: dict[tuple[ZoneId, int], InstanceId] = {}
        self._estimates: dict[tuple[ZoneId, AccountId], _BalanceEstimate] = {}
        self._backoff_until: dict[str, Millis] = {}
        self._zone_backoff_ms: dict[ZoneId, float] = {}

    def configure(self, allocations: dict[ZoneId, ZoneAllocations]) -> None:
        self._allocations = allocations

    def observe_members(self, members: Iterable[MemberView]) -> None:
        self._members = {}
        self._zones_by_instance = {}
        for member in members:
            self._zones_by_instance[member.instance] = member.zone
            if not member.leaving and member.instance != self._instance:
                self._members.setdefault(member.zone, []).append(member.instance)

    def record_holder(
        self, zone: ZoneId, group: int, holder: InstanceId | None
    ) -> None:
        if holder is None:
            self._holders.pop((zone, group), None)
        else:
            self._holders[(zone, group)] = holder

    def record_balance(
        self, zone: ZoneId, account: AccountId, tokens: float, now: Millis
    ) -> None:
        """Records the balance that a holder stated in its response."""
        self._set_estimate(zone, account, tokens, RECHECK_DELAY_MS, now)

    def record_no_holder(
        self, zone: ZoneId, account: AccountId, group: int, now: Millis
    ) -> None:
        self._holders.pop((zone, group), None)
        self._set_estimate(zone, account, 0.0, HANDOVER_DELAY_MS, now)

    def record_timeout(self, zone: ZoneId, instance: InstanceId, now: Millis) -> None:
        """Records that an instance didn't respond in time."""
        self._backoff_until[instance] = Millis(now + INSTANCE_BACKOFF_MS)
        if not self._is_backing_off(f"zone/{zone}", now):
            backoff_ms = self._zone_backoff_ms.get(zone, ZONE_BACKOFF_MS)
            self._backoff_until[f"zone/{zone}"] = Millis(now + backoff_ms)
            self._zone_backoff_ms[zone] = min(2 * backoff_ms, MAX_ZONE_BACKOFF_MS)
        for key in [key for key, holder in self._holders.items() if holder == instance]:
            del self._holders[key]

    def record_response(self, zone: ZoneId, sender: InstanceId) -> None:
        self._backoff_until.pop(sender, None)
        self._backoff_until.pop(f"zone/{zone}", None)
        self._zone_backoff_ms.pop(zone, None)

    def _set_estimate(
        self,
        zone: ZoneId,
        account: AccountId,
        tokens: float,
        recheck_delay_ms: float,
        now: Millis,
    ) -> None:
        self._estimates[(zone, account)] = _BalanceEstimate(
            tokens=tokens, estimated_at=now, recheck_at=Millis(now + recheck_delay_ms)
        )

    def select_targets(
        self, account: AccountId, group: int, tokens: int, now: Millis
    ) -> list[RequestTarget]:
        """Divides a shortage among zones: own zone first, then by estimated balance."""
        targets = []
        for zone, available in self._sort_zones(account, now):
            wanted = min(tokens, int(available))
            if wanted < 1:
                continue
            instance = self._find_instance(zone, group, now)
            if instance is None:
                continue
            targets.append(RequestTarget(zone=zone, instance=instance, tokens=wanted))
            self._reduce_estimate(zone, account, available - wanted, now)
            tokens -= wanted
        return targets

    def may_recheck(self, account: AccountId, now: Millis, within_ms: float) -> bool:
        """Returns whether some zone can be asked again within ``within_ms``."""
        return any(
            estimate.recheck_at - now <= within_ms
            for (zone, estimated), estimate in self._estimates.items()
            if estimated == account
            and self._get_allocation(zone, account).burst > 0
            and self._members.get(zone)
            and not self._is_backing_off(f"zone/{zone}", now)
        )

    def _sort_zones(
        self, account: AccountId, now: Millis
    ) -> list[tuple[ZoneId, float]]:
        available = [
            (zone, self._estimate_balance(zone, account, now))
            for zone in self._allocations
        ]
        available.sort(key=lambda each: (each[0] != self._zone, -each[1]))
        return available

    def _estimate_balance(self, zone: ZoneId, account: AccountId, now: Millis) -> float:
        allocation = self._get_allocation(zone, account)
        if allocation.burst == 0:
            return 0.0
        estimate = self._estimates.get((zone, account))
        if estimate is None:
            return float(allocation.burst)
        refilled = (now - estimate.estimated_at) * allocation.rate_per_ms
        tokens = min(float(allocation.burst), estimate.tokens + refilled)
        return max(tokens, 1.0) if now >= estimate.recheck_at else tokens

    def _reduce_estimate(
        self, zone: ZoneId, account: AccountId, tokens: float, now: Millis
    ) -> None:
        self._set_estimate(zone, account, max(0.0, tokens), RECHECK_DELAY_MS, now)

    def _get_allocation(self, zone: ZoneId, account: AccountId) -> ZoneAllocation:
        return self._allocations.get(zone, {}).get(account, NO_ALLOCATION)

    def _find_instance(
        self, zone: ZoneId, group: int, now: Millis
    ) -> InstanceId | None:
        if self._is_backing_off(f"zone/{zone}", now):
            return None
        holder = self._holders.get((zone, group))
        if holder is not None and holder in self._zones_by_instance:
            return holder if holder != self._instance else None
        if zone == self._zone:
            # The holder in the own zone is known only from its renewals.
            return None
        reachable = [
            member
            for member in self._members.get(zone, [])
            if not self._is_backing_off(member, now)
        ]
        return self._random.choice(reachable) if reachable else None

    def _is_backing_off(self, key: str, now: Millis) -> bool:
        return now < self._backoff_until.get(key, now)
