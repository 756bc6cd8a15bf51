"""Guards against wrong proportions while versions come in quick succession.

Each version started the choice among the parts of a split anew, with the greatest part,
so that a part of 0.50 got 0.71 to 0.75 of the requests.
"""

from __future__ import annotations

import collections
import random

import pytest

from skylarkcart.published import Route, ServiceShare
from skylarkcart.routing import RouteTable
from skylarkcart.types import ServiceId
from tests.routing.test_routing import build_configuration, build_route

VERSIONS = 200


def build_split(**weights: float) -> Route:
    shares = tuple(
        ServiceShare(service=ServiceId(service), weight=weight)
        for service, weight in weights.items()
    )
    return build_route("read", "/read/", shares=shares)


def count_choices(*, routes: list[Route], requests: int) -> collections.Counter:
    """Counts the choices over versions with these routes, taken in turn."""
    chosen: collections.Counter = collections.Counter()
    table: RouteTable | None = None
    for version in range(VERSIONS):
        route = routes[version % len(routes)]
        table = RouteTable(
            configuration=build_configuration(route),
            random=random.Random(version),
            previous=table,
        )
        chosen.update(table.choose_service(route) for _ in range(requests))
    return chosen


@pytest.mark.parametrize("requests", [1, 2, 3, 5])
def test_weights_hold_over_versions_that_keep_them(requests: int) -> None:
    route = build_split(a=0.5, b=0.25, c=0.25)
    chosen = count_choices(routes=[route], requests=requests)
    for service, weight in (("a", 0.5), ("b", 0.25), ("c", 0.25)):
        assert abs(chosen[service] - weight * VERSIONS * requests) <= 2


@pytest.mark.parametrize("requests", [1, 2, 3, 5])
def test_weights_hold_over_versions_that_change_their_scale(requests: int) -> None:
    """Credits are counted in requests, not in units of the weights."""
    routes = [build_split(a=50, b=25, c=25), build_split(a=0.5, b=0.25, c=0.25)]
    chosen = count_choices(routes=routes, requests=requests)
    assert abs(chosen["a"] - 0.5 * VERSIONS * requests) <= 2


def test_part_that_stays_keeps_its_credit_when_others_change() -> None:
    routes = [build_split(a=0.5, b=0.5), build_split(a=0.5, c=0.5)]
    chosen = count_choices(routes=routes, requests=1)
    assert abs(chosen["a"] - 0.5 * VERSIONS) <= 0.05 * VERSIONS


def test_instances_that_start_together_begin_with_different_parts() -> None:
    """With few requests each, the fleet would otherwise prefer the greatest part."""
    route = build_split(a=0.5, b=0.25, c=0.25)
    first = collections.Counter(
        RouteTable(
            configuration=build_configuration(route), random=random.Random(seed)
        ).choose_service(route)
        for seed in range(400)
    )
    assert 160 <= first["a"] <= 240
