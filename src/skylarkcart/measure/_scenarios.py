"""All scenarios, in the order in which ``all`` runs them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from skylarkcart.measure import (
    _control,
    _entry_cost,
    _filing_faults,
    _overload,
    _rate_limit,
    _rolling_replacement,
    _stragglers,
    _upstream_state,
    _zones,
)
from skylarkcart.measure._results import ScenarioResult
from skylarkcart.measure._testbed import RunContext


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A named measurement."""

    name: str
    description: str
    run: Callable[[RunContext], Awaitable[ScenarioResult]]


SCENARIOS = (
    Scenario(
        name="stragglers",
        description="1 in 50 shard calls 20 times slower",
        run=_stragglers.run,
    ),
    Scenario(
        name="zone_out_and_back",
        description="a zone closed and reopened at 70% load",
        run=_zones.run_zone_outage,
    ),
    Scenario(
        name="replica_lost",
        description="an upstream lost at 70% load",
        run=_zones.run_replica_loss,
    ),
    Scenario(
        name="overload",
        description="load at 150%",
        run=_overload.run_overload,
    ),
    Scenario(
        name="noisy_account",
        description="one account at 10 times its rate",
        run=_overload.run_noisy_account,
    ),
    Scenario(
        name="config",
        description="configuration changes, and platform reads by fleet size",
        run=_control.run_config,
    ),
    Scenario(
        name="key_withdrawn",
        description="a key revoked while its callers are connected",
        run=_control.run_key_revocation,
    ),
    Scenario(
        name="rolling_replacement",
        description="all entry instances replaced under load",
        run=_rolling_replacement.run,
    ),
    Scenario(
        name="filing_faults",
        description="faults at each point of a filing's exchange, alone and in pairs",
        run=_filing_faults.run,
    ),
    Scenario(
        name="rate_limit",
        description="rate limits with uneven arrivals, replacement and a partition",
        run=_rate_limit.run,
    ),
    Scenario(
        name="misleading_load",
        description="reported load frozen or inverted",
        run=_upstream_state.run_misleading_load,
    ),
    Scenario(
        name="cold_start",
        description="load on cold upstreams against their capacity",
        run=_upstream_state.run_cold_start,
    ),
    Scenario(
        name="entry_cost",
        description="processor time of an instance for one query, by part",
        run=_entry_cost.run,
    ),
)


def find_scenario(name: str) -> Scenario | None:
    return next((found for found in SCENARIOS if found.name == name), None)
