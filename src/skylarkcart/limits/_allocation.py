"""Divides the rate and burst of each account among the zones.

Allocations are a pure function of a configuration, so all instances compute the same
ones without messages. ``AllocationTracker`` decides when an allocation may grow, so
that the sum over all zones stays within the limits while zones adopt a revision at
different times.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import AccountRow, Configuration, ZoneRow
from skylarkcart.limits._helpers import LEASE_MS, MILLISECONDS_PER_SECOND, hash_text
from skylarkcart.limits._messages import MemberView
from skylarkcart.types import AccountId, ZoneId, ZoneState

# With fewer tokens in a zone, uneven arrival causes too many refusals, so a small burst
# is divided among fewer zones.
MIN_TOKENS_PER_ZONE = 2


class ZoneAllocation(msgspec.Struct, frozen=True, kw_only=True):
    """A zone's allocation of an account's limits: burst in whole tokens, and rate."""

    burst: int = 0
    rate_per_ms: float = 0.0

    def exceeds(self, other: ZoneAllocation) -> bool:
        """Returns whether the burst or the rate is greater than in ``other``."""
        return self.burst > other.burst or self.rate_per_ms > other.rate_per_ms

    def cap(self, other: ZoneAllocation) -> ZoneAllocation:
        """Returns an allocation with the smaller burst and smaller rate of the two."""
        return ZoneAllocation(
            burst=min(self.burst, other.burst),
            rate_per_ms=min(self.rate_per_ms, other.rate_per_ms),
        )


NO_ALLOCATION = ZoneAllocation()

ZoneAllocations = dict[AccountId, ZoneAllocation]


def compute_allocations(configuration: Configuration) -> dict[ZoneId, ZoneAllocations]:
    """Returns the allocations of every open zone.

    For each account, the allocations add up to its burst and its rate.
    """
    zones = [
        row
        for row in configuration.zones
        if row.state is ZoneState.OPEN and row.weight > 0
    ]
    allocations: dict[ZoneId, ZoneAllocations] = {row.zone: {} for row in zones}
    if not zones:
        return allocations
    for account in configuration.accounts:
        for zone, burst in _split_burst(account, zones).items():
            rate_per_s = account.rate_per_s * burst / account.burst
            allocations[zone][account.account] = ZoneAllocation(
                burst=burst, rate_per_ms=rate_per_s / MILLISECONDS_PER_SECOND
            )
    return allocations


def _split_burst(account: AccountRow, zones: list[ZoneRow]) -> dict[ZoneId, int]:
    chosen = _choose_zones(account, zones)
    total_weight = sum(row.weight for row in chosen)
    exact_shares = {
        row.zone: account.burst * row.weight / total_weight for row in chosen
    }
    split = {zone: math.floor(tokens) for zone, tokens in exact_shares.items()}
    remaining = account.burst - sum(split.values())
    by_remainder = sorted(
        exact_shares,
        key=lambda zone: (
            split[zone] - exact_shares[zone],
            hash_text(f"part/{account.account}/{zone}"),
        ),
    )
    for zone in by_remainder[:remaining]:
        split[zone] += 1
    return split


def _choose_zones(account: AccountRow, zones: list[ZoneRow]) -> list[ZoneRow]:
    count = max(1, min(len(zones), account.burst // MIN_TOKENS_PER_ZONE))
    return sorted(zones, key=lambda row: _score_zone(account.account, row))[:count]


def _score_zone(account: AccountId, row: ZoneRow) -> float:
    """Returns the weighted rendezvous-hash score; the lowest score wins."""
    uniform = (hash_text(f"zone/{account}/{row.zone}") + 1) / (2**64 + 1)
    return -math.log(uniform) / row.weight


class AllocationTracker:
    """Tracks the allocations that one zone may use at present.

    An allocation decreases as soon as a revision is adopted. It increases only when the
    revision is settled: every zone that might still use more than its new allocation
    has reported the revision, and ``LEASE_MS`` has passed since then, so that grants
    from the larger allocation have expired.
    """

    def __init__(self, *, zone: ZoneId) -> None:
        self.revision = 0
        self.is_settled = False
        self.current: ZoneAllocations = {}
        self._zone = zone
        self._allocations: dict[ZoneId, ZoneAllocations] = {}
        # The largest allocation of each zone since the last settled revision; None
        # until the instance learns of a settled revision.
        self._max_allocations: dict[ZoneId, ZoneAllocations] | None = None
        self._unconfirmed_zones: frozenset[ZoneId] = frozenset()
        self._confirmed_since: Millis | None = None

    @property
    def allocations(self) -> dict[ZoneId, ZoneAllocations]:
        """The allocations of all zones in the adopted revision."""
        return self._allocations

    def adopt(self, configuration: Configuration) -> None:
        """Reduces allocations to those of a newer revision; ignores an older one."""
        if configuration.revision <= self.revision:
            return
        self.revision = configuration.revision
        self.is_settled = False
        self._confirmed_since = None
        self._allocations = compute_allocations(configuration)
        reduced = self._find_reduced_zones(configuration)
        removed = {
            row.zone for row in configuration.zones if row.state is ZoneState.REMOVED
        }
        self._unconfirmed_zones = reduced - removed
        self.current = {
            account: self.current.get(account, NO_ALLOCATION).cap(target)
            for account, target in self._get_target().items()
        }
        if self._max_allocations is None:
            return
        _raise_allocations(self._max_allocations, self._allocations)
        if not reduced:
            self._settle()

    def observe(self, members: Iterable[MemberView], now: Millis) -> None:
        """Settles the revision once all unconfirmed zones have reported it."""
        if self.is_settled or self.revision == 0:
            return
        if not self._is_confirmed(list(members)):
            self._confirmed_since = None
            return
        if self._confirmed_since is None:
            self._confirmed_since = now
        if now - self._confirmed_since >= LEASE_MS:
            self._settle()

    def record_settled(self, revision: int) -> None:
        """Records that a member of the same zone considers a revision settled."""
        if revision == self.revision and not self.is_settled and revision > 0:
            self._settle()

    def _settle(self) -> None:
        self.is_settled = True
        self.current = dict(self._get_target())
        self._max_allocations = {
            zone: dict(allocations) for zone, allocations in self._allocations.items()
        }

    def _get_target(self) -> ZoneAllocations:
        return self._allocations.get(self._zone, {})

    def _find_reduced_zones(self, configuration: Configuration) -> frozenset[ZoneId]:
        """Returns the other zones that may use more than the new revision allows.

        Without a known settled revision, these are all zones of the configuration. A
        removed zone reports nothing, but its last grants take up to ``LEASE_MS`` to
        expire.
        """
        if self._max_allocations is None:
            reduced = {
                row.zone for row in configuration.zones
            } | self._unconfirmed_zones
        else:
            reduced = {
                zone
                for zone, largest in self._max_allocations.items()
                if _is_reduced(largest, self._allocations.get(zone, {}))
            }
        return frozenset(reduced - {self._zone})

    def _is_confirmed(self, members: list[MemberView]) -> bool:
        if self._max_allocations is None and any(
            member.revision > self.revision for member in members
        ):
            # Other instances may have raised their allocations because an earlier
            # process of this zone confirmed a newer revision.
            return False
        for zone in self._unconfirmed_zones:
            revisions = [member.revision for member in members if member.zone == zone]
            if not revisions or min(revisions) < self.revision:
                return False
        return True


def _is_reduced(largest: ZoneAllocations, target: ZoneAllocations) -> bool:
    return any(
        allocation.exceeds(target.get(account, NO_ALLOCATION))
        for account, allocation in largest.items()
    )


def _raise_allocations(
    largest: dict[ZoneId, ZoneAllocations], allocations: dict[ZoneId, ZoneAllocations]
) -> None:
    """Raises each allocation in ``largest`` to at least the one in ``allocations``."""
    for zone, zone_allocations in allocations.items():
        known_allocations = largest.setdefault(zone, {})
        for account, allocation in zone_allocations.items():
            known = known_allocations.get(account, NO_ALLOCATION)
            known_allocations[account] = ZoneAllocation(
                burst=max(known.burst, allocation.burst),
                rate_per_ms=max(known.rate_per_ms, allocation.rate_per_ms),
            )
