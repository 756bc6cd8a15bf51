"""Checks of the invariants behind the rate limit, beside the ledger of spent tokens.

The ledger detects an excess only when requests spend it. These checks inspect the
agents of a zone and detect a second holder or too many spendable tokens at once.
"""

from __future__ import annotations

import collections
import functools
from collections.abc import Iterable
from typing import TYPE_CHECKING

from skylarkcart.clock import Millis
from skylarkcart.declarations import Configuration
from skylarkcart.invariants import Invariant, check
from skylarkcart.limits import compute_allocations
from skylarkcart.limits._grant_store import HeldGrant
from skylarkcart.proof._ledger import ROUNDING_TOLERANCE_TOKENS, Ledger, Limit
from skylarkcart.types import AccountId, InstanceId, ZoneId

if TYPE_CHECKING:
    from skylarkcart.proof._limits_fleet import SimulatedProcess


_compute_cached_allocations = functools.lru_cache(maxsize=64)(compute_allocations)


def check_right_holders(zone: ZoneId, processes: Iterable[SimulatedProcess]) -> None:
    """Checks that at most one running process of a zone holds each right."""
    holders: dict[int, InstanceId] = {}
    for process in processes:
        if process.zone != zone or process.is_paused:
            continue
        for group in process.agent.list_held(process.now):
            holder = holders.setdefault(group, process.instance)
            check(
                holder == process.instance,
                Invariant.RATE_LIMIT,
                f"{holder} and {process.instance} hold group {group} in {zone}",
            )


def check_spendable_tokens(
    zone: ZoneId,
    processes: Iterable[SimulatedProcess],
    in_force: Iterable[Configuration],
) -> None:
    """Checks that balances and unspent grants stay within the zone's burst."""
    spendable_tokens: collections.Counter[AccountId] = collections.Counter()
    for process in processes:
        _add_grants(spendable_tokens, zone, process)
        if process.zone == zone and not process.is_paused:
            _add_balances(spendable_tokens, process)
    bursts: dict[AccountId, int] = {}
    for configuration in in_force:
        allocations = _compute_cached_allocations(configuration).get(zone, {})
        for account, allocation in allocations.items():
            bursts[account] = max(allocation.burst, bursts.get(account, 0))
    for account, tokens in spendable_tokens.items():
        burst = bursts.get(account, 0)
        check(
            tokens <= burst + ROUNDING_TOLERANCE_TOKENS,
            Invariant.RATE_LIMIT,
            f"{tokens} tokens of {account} can be spent from {zone}, burst is {burst}",
        )


def _add_grants(
    spendable_tokens: collections.Counter[AccountId],
    zone: ZoneId,
    process: SimulatedProcess,
) -> None:
    """Adds the unexpired grants that instances of ``zone`` issued.

    The id of an instance begins with its zone.
    """
    for account, supply in process.agent._grant_store._supplies.items():
        for held in supply.grants:
            if held.issuer.startswith(f"{zone}-") and held.expires_at > process.now:
                spendable_tokens[account] += held.remaining


def _add_balances(
    spendable_tokens: collections.Counter[AccountId], process: SimulatedProcess
) -> None:
    held = set(process.agent.list_held(process.now))
    for account, group in process.agent._accounts.items():
        if group in held:
            balance = process.agent._issuer.get_balance(account, process.now)
            spendable_tokens[account] += balance


def check_allocations(
    processes: Iterable[SimulatedProcess], in_force: Iterable[Configuration]
) -> None:
    """Checks that the bursts of an account's allocations sum to at most its burst."""
    bursts: dict[AccountId, int] = {}
    for configuration in in_force:
        for row in configuration.accounts:
            bursts[row.account] = max(row.burst, bursts.get(row.account, 0))
    largest_bursts: dict[tuple[AccountId, ZoneId], int] = {}
    for process in processes:
        for account, allocation in process.agent._allocations.current.items():
            key = (account, process.zone)
            largest_bursts[key] = max(allocation.burst, largest_bursts.get(key, 0))
    totals: collections.Counter[AccountId] = collections.Counter()
    for (account, _), burst in largest_bursts.items():
        totals[account] += burst
    for account, total in totals.items():
        check(
            total <= bursts.get(account, 0),
            Invariant.RATE_LIMIT,
            f"the bursts of the allocations of {account} sum to {total}, "
            f"expected at most {bursts.get(account, 0)}",
        )


class ZoneLedgers:
    """Counts each spent token in the ledger of the zone that issued it.

    An excess in one zone isn't masked by tokens that other zones lost in crashes.
    """

    def __init__(self) -> None:
        self._ledgers: collections.defaultdict[ZoneId, Ledger]
        self._ledgers = collections.defaultdict(Ledger)

    def set_limits(self, in_force: list[Configuration], now: float) -> None:
        """Sets each limit to the zone's largest allocation in force for the account."""
        zones = {row.zone for configuration in in_force for row in configuration.zones}
        accounts = {
            row.account for configuration in in_force for row in configuration.accounts
        }
        for zone in zones:
            allocations = [
                _compute_cached_allocations(configuration).get(zone, {})
                for configuration in in_force
            ]
            limits = {}
            for account in accounts:
                account_allocations = [
                    zone_allocations[account]
                    for zone_allocations in allocations
                    if account in zone_allocations
                ]
                limits[account] = Limit(
                    burst=max(
                        (allocation.burst for allocation in account_allocations),
                        default=0,
                    ),
                    rate_per_ms=max(
                        (allocation.rate_per_ms for allocation in account_allocations),
                        default=0,
                    ),
                )
            self._ledgers[zone].set_limits(limits, now)

    def track(self, process: SimulatedProcess) -> None:
        """Counts the tokens that the agent spends from grants and its own balance."""
        grant_store, issuer = process.agent._grant_store, process.agent._issuer
        record_remaining, take_token = grant_store._record_remaining, issuer.take_token

        def record_spent(held: HeldGrant, *, is_urgent: bool) -> None:
            zone = ZoneId(held.issuer.split("-")[0])
            self._ledgers[zone].record_spent_token(
                held.account, process.fleet.schedule.now
            )
            record_remaining(held, is_urgent=is_urgent)

        def take_and_count(account: AccountId, now: Millis) -> bool:
            is_spent = take_token(account, now)
            if is_spent:
                spent_at = process.fleet.schedule.now
                self._ledgers[process.zone].record_spent_token(account, spent_at)
            return is_spent

        grant_store._record_remaining = record_spent
        issuer.take_token = take_and_count
