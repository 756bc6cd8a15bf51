"""Rules for routes: what they match, where they lead, and their limits."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping

from skylarkcart.check._findings import Finding, Rule
from skylarkcart.platform._field_paths import format_path
from skylarkcart.published import Configuration, Route
from skylarkcart.routing import list_services
from skylarkcart.types import ServiceId

# Requests whose target is longer by this factor can usually wait for the others.
SLOWER_FACTOR = 4


def check_routes(
    configuration: Configuration, *, upstreams: Mapping[ServiceId, int] | None
) -> Iterator[Finding]:
    """Yields the findings for all routes; ``upstreams`` are counted by service."""
    names = {service.service for service in configuration.services}
    for index, route in enumerate(configuration.routes):
        yield from _check_match(index, route)
        yield from _check_services(index, route, names)
        yield from _check_split(index, route)
        yield from _check_gathering(index, route)
        yield from _check_times(index, route)
        if upstreams is not None:
            yield from _check_attempts(index, route, upstreams)
    yield from _find_unreachable_routes(configuration.routes)
    yield from _check_priorities(configuration.routes)


def build_finding(rule: Rule, index: int, field: str | None, detail: str) -> Finding:
    path = format_path("routes", index=index, field=field)
    return Finding(rule=rule, path=path, detail=detail)


def _check_match(index: int, route: Route) -> Iterator[Finding]:
    if not route.host or set(route.host) & set(":/ "):
        detail = f"is {route.host!r}; requests are matched by host name without port"
        yield build_finding(Rule.HOST, index, "host", detail)
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        detail = f"is {route.prefix!r}; expected a slash at its start and at its end"
        yield build_finding(Rule.PREFIX, index, "prefix", detail)
    elif set(route.prefix) & set("?# "):
        detail = (
            f"is {route.prefix!r}; the path of a request never holds ?, # or spaces"
        )
        yield build_finding(Rule.PREFIX, index, "prefix", detail)


def _find_unreachable_routes(routes: Iterable[Route]) -> Iterator[Finding]:
    """Of two routes with the same host and prefix, the first one matches."""
    first_routes: dict[tuple[str, str], Route] = {}
    for index, route in enumerate(routes):
        first = first_routes.setdefault((route.host.lower(), route.prefix), route)
        if first is not route:
            detail = f"never matches: {first.name!r} has the same host and prefix"
            yield build_finding(Rule.UNREACHABLE_ROUTE, index, None, detail)


def _check_services(
    index: int, route: Route, names: set[ServiceId]
) -> Iterator[Finding]:
    field = "gathering" if route.gathering is not None else None
    if len(route.shares) > 1:
        field = "shares"
    counts = Counter(list_services(route))
    for service, count in counts.items():
        if service not in names:
            detail = f"names the service {service!r}, which is not listed"
            yield build_finding(Rule.UNKNOWN_SERVICE, index, field, detail)
        if count > 1:
            detail = f"names the service {service!r} {count} times"
            yield build_finding(Rule.REPEATED_SERVICE, index, field, detail)


def _check_split(index: int, route: Route) -> Iterator[Finding]:
    if route.shares and not any(share.weight > 0 for share in route.shares):
        detail = "no part has a weight above 0; the parts would get equal numbers"
        yield build_finding(Rule.NO_WEIGHT, index, "shares", detail)
        return
    for share in route.shares:
        if share.weight < 0:
            detail = f"{share.service!r} has the weight {share.weight:g}"
            yield build_finding(Rule.INVALID_NUMBER, index, "shares", detail)
        elif share.weight == 0:
            detail = f"{share.service!r} has the weight 0 and gets no requests"
            yield build_finding(Rule.UNUSED_PART, index, "shares", detail)


def _check_gathering(index: int, route: Route) -> Iterator[Finding]:
    gathering = route.gathering
    if gathering is None:
        return
    if not route.is_idempotent:
        detail = "is unsafe, but a request to several shards may run more than once"
        yield build_finding(Rule.UNSAFE_GATHER, index, "is_idempotent", detail)
    if gathering.top_records < 1:
        detail = f"is {gathering.top_records}; answers would hold no records"
        yield build_finding(Rule.NO_RECORDS, index, "top_records", detail)
    coverage, shards = gathering.min_coverage, len(gathering.shards)
    if coverage > 1:
        detail = f"is {coverage:g}; {shards} of {shards} shards are a coverage of 1"
        yield build_finding(Rule.UNREACHABLE_COVERAGE, index, "min_coverage", detail)
    elif coverage < 0:
        detail = f"is {coverage:g}; expected 0 to 1"
        yield build_finding(Rule.INVALID_NUMBER, index, "min_coverage", detail)
    elif coverage < 1 and math.ceil(coverage * shards) == shards:
        detail = f"is {coverage:g}; of {shards} shards, none may be missing"
        yield build_finding(Rule.COMPLETE_COVERAGE, index, "min_coverage", detail)


def _check_times(index: int, route: Route) -> Iterator[Finding]:
    if route.timeout_ms <= 0:
        detail = f"is {route.timeout_ms:g}; each request would be out of time"
        yield build_finding(Rule.INVALID_NUMBER, index, "timeout_ms", detail)
    if route.target_latency_ms < 0:
        detail = f"is {route.target_latency_ms:g}; expected 0 or more"
        yield build_finding(Rule.INVALID_NUMBER, index, "target_latency_ms", detail)
    elif 0 < route.timeout_ms < route.target_latency_ms:
        detail = (
            f"is {route.target_latency_ms:g} ms, above the timeout of "
            f"{route.timeout_ms:g} ms"
        )
        yield build_finding(
            Rule.TARGET_ABOVE_TIMEOUT, index, "target_latency_ms", detail
        )
    if route.priority < 0:
        detail = f"is {route.priority}; 0 is the highest"
        yield build_finding(Rule.INVALID_NUMBER, index, "priority", detail)


def _check_attempts(
    index: int, route: Route, upstreams: Mapping[ServiceId, int]
) -> Iterator[Finding]:
    counts = {name: upstreams.get(name, 0) for name in list_services(route)}
    for service in (name for name, count in counts.items() if count == 0):
        detail = f"the service {service!r} has no upstreams"
        yield build_finding(Rule.NO_UPSTREAMS, index, None, detail)
    present = [count for count in counts.values() if count]
    if present and route.max_attempts > min(present):
        detail = (
            f"is {route.max_attempts}, but a service of the route has "
            f"{min(present)} upstreams, each of which is tried once"
        )
        yield build_finding(Rule.UNUSED_ATTEMPTS, index, "max_attempts", detail)


def _check_priorities(routes: tuple[Route, ...]) -> Iterator[Finding]:
    """Finds slower routes that go before faster ones at the same upstreams."""
    services = {route: frozenset(list_services(route)) for route in routes}
    for index, slow in enumerate(routes):
        faster = (
            route
            for route in routes
            if slow.priority < route.priority
            and 0 < SLOWER_FACTOR * route.target_latency_ms <= slow.target_latency_ms
            and services[slow] & services[route]
        )
        fast = next(faster, None)
        if fast is not None:
            detail = (
                f"ranks {slow.name!r} (target {slow.target_latency_ms:g} ms) above "
                f"{fast.name!r} (target {fast.target_latency_ms:g} ms) at the same "
                "services"
            )
            yield build_finding(Rule.PRIORITY_ORDER, index, "priority", detail)
