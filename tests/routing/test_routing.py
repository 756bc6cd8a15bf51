"""Routes by host and path prefix, keys, and distribution by weight."""

from __future__ import annotations

import random

import pytest

from skylarkcart.published import (
    Account,
    CallerLimits,
    Configuration,
    Route,
    ServiceShare,
)
from skylarkcart.routing import RouteTable, WeightedServices
from skylarkcart.types import AccountId, ServiceId


def build_route(name: str, prefix: str, **fields: object) -> Route:
    values = {
        "name": name,
        "host": "a.example",
        "prefix": prefix,
        "is_idempotent": True,
        "timeout_ms": 100.0,
        "target_latency_ms": 50.0,
        "max_attempts": 2,
        "priority": 0,
        "is_public": False,
    } | fields
    return Route(**values)


def build_configuration(
    *routes: Route, accounts: tuple[Account, ...] | None = None
) -> Configuration:
    limits = CallerLimits(
        max_header_bytes=1,
        max_body_bytes=1,
        header_timeout_ms=1.0,
        idle_timeout_ms=1.0,
    )
    return Configuration(
        version=1,
        routes=routes,
        services=(),
        limits=limits,
        accounts=accounts or (),
        requires_keys=accounts is not None,
    )


def build_table(
    *routes: Route, accounts: tuple[Account, ...] | None = None
) -> RouteTable:
    configuration = build_configuration(*routes, accounts=accounts)
    return RouteTable(configuration=configuration, random=random.Random(1))


def test_longest_prefix_wins() -> None:
    table = build_table(build_route("short", "/a/"), build_route("long", "/a/b/"))
    assert table.find_route("a.example", "/a/b/c").name == "long"
    assert table.find_route("a.example", "/a/bc").name == "short"
    assert table.find_route("a.example", "/b/") is None
    assert table.find_route("b.example", "/a/") is None


def test_key_is_needed_unless_the_route_is_public() -> None:
    account = Account(
        account=AccountId("x"), keys=("k",), priority=0, rate_per_s=0, burst=0
    )
    restricted, public = build_route("c", "/c/"), build_route(
        "p", "/p/", is_public=True
    )
    table = build_table(restricted, public, accounts=(account,))
    assert table.needs_key(restricted) and not table.needs_key(public)
    assert table.find_account("k") is account
    assert table.find_account("other") is None and table.find_account(None) is None
    assert not build_table(restricted).needs_key(restricted)


def test_key_is_needed_although_no_account_is_left() -> None:
    """Withdrawing the last account opened all routes to every caller."""
    restricted, public = build_route("c", "/c/"), build_route(
        "p", "/p/", is_public=True
    )
    table = build_table(restricted, public, accounts=())
    assert table.needs_key(restricted) and not table.needs_key(public)
    assert table.find_account("k") is None


@pytest.mark.parametrize("weights", [(3, 1), (0.5, 0.3, 0.2), (1, 0)])
def test_shares_follow_the_weights_over_short_runs(weights: tuple[float, ...]) -> None:
    """Operators shift traffic by weight and check the share of the first requests."""
    shares = [
        ServiceShare(service=ServiceId(f"s{number}"), weight=weight)
        for number, weight in enumerate(weights)
    ]
    services = WeightedServices(shares=shares, offset=0.4)
    chosen = [services.choose() for _ in range(50)]
    for share in shares:
        expected = share.weight / sum(weights)
        assert abs(chosen.count(share.service) / 50 - expected) <= 0.03
