"""Describes what differs from the version in force, and what it means for requests."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

import msgspec

from skylarkcart.check._findings import Change
from skylarkcart.published import (
    Account,
    Configuration,
    Route,
    ScatterGather,
    ServiceShare,
)
from skylarkcart.routing import list_services

MAX_LISTED_SHARDS = 3

# Fields whose changes are described alike: the words for each, and what it means.
_ROUTE_FIELDS = {
    "is_idempotent": (
        "safe to repeat",
        "only safe requests are sent to another upstream after they may have run",
    ),
    "timeout_ms": ("timeout in ms", "unanswered requests get 504 after this time"),
    "target_latency_ms": ("target latency in ms", "later answers count as late"),
    "max_attempts": ("attempts", "a request goes to at most so many upstreams"),
    "priority": ("priority", "0 is the highest; that of an account goes before it"),
    "is_public": ("public", "requests need a key unless the route is public"),
}
_GATHERING_FIELDS = {
    "top_records": ("records of an answer", "answers hold so many records"),
    "min_coverage": ("coverage", "answers from a smaller part of the shards fail"),
}
_SERVICE_FIELDS = {
    "max_connections": (
        "connections",
        "all instances together open at most so many to each upstream",
    ),
    "cold_start_ms": ("cold start in ms", "upstreams count as cold for this time"),
    "cold_calls_per_s": ("calls a second while cold", "0 means no limit of their own"),
}
_ACCOUNT_FIELDS = {
    "priority": ("priority", "goes before the priority of the route"),
    "rate_per_s": ("requests a second", "those above get 429; 0 means no limit"),
    "burst": ("burst", "so many requests may come at once"),
}
_LIMIT_FIELDS = {
    "max_header_bytes": ("bytes of headers", "larger requests get 431"),
    "max_body_bytes": ("bytes of a body", "larger requests get 413"),
    "header_timeout_ms": ("time for headers in ms", "slower callers are closed"),
    "idle_timeout_ms": ("idle time in ms", "connections idle for longer are closed"),
}


def describe_changes(old: Configuration, new: Configuration) -> list[Change]:
    """Returns the differences in the order of the document."""
    return [
        *_describe_routes(old, new),
        *_describe_services(old, new),
        *_describe_fields("limits", old.limits, new.limits, _LIMIT_FIELDS),
        *_describe_accounts(old, new),
    ]


def _describe_routes(old: Configuration, new: Configuration) -> Iterator[Change]:
    before = {route.name: route for route in old.routes}
    after = {route.name: route for route in new.routes}
    for name, route in before.items():
        if name not in after:
            change = f"dropped ({route.host}{route.prefix})"
            yield _build(f"route {name}", change, _find_next_match(route, new.routes))
    for name, route in after.items():
        if name not in before:
            change = f"added ({route.host}{route.prefix})"
            effect = f"its requests go to {_describe_destination(route)}"
            yield _build(f"route {name}", change, effect)
        else:
            yield from _describe_route(before[name], route, new.routes)


def _describe_route(
    old: Route, new: Route, routes: Sequence[Route]
) -> Iterator[Change]:
    subject = f"route {new.name}"
    if (old.host.lower(), old.prefix) != (new.host.lower(), new.prefix):
        change = f"{old.host}{old.prefix} -> {new.host}{new.prefix}"
        effect = f"at the former path, {_find_next_match(old, routes)}"
        yield _build(subject, change, effect)
    if old.shares != new.shares or list_services(old) != list_services(new):
        change = f"{_describe_destination(old)} -> {_describe_destination(new)}"
        yield _build(subject, change, _describe_move(old.gathering, new.gathering))
    if old.gathering is not None and new.gathering is not None:
        yield from _describe_fields(
            subject, old.gathering, new.gathering, _GATHERING_FIELDS
        )
    yield from _describe_fields(subject, old, new, _ROUTE_FIELDS)


def _describe_move(old: ScatterGather | None, new: ScatterGather | None) -> str:
    if old is None or new is None:
        return "requests move once they begin; running ones end where they are"
    left = len(set(old.shards) - set(new.shards))
    joined = len(set(new.shards) - set(old.shards))
    return f"shards that leave: {left}, that join: {joined}; no answer mixes versions"


def _find_next_match(route: Route, routes: Sequence[Route]) -> str:
    """Says where requests to the path of a former route go."""
    matching = [
        other
        for other in routes
        if other.host.lower() == route.host.lower()
        and route.prefix.startswith(other.prefix)
    ]
    if not matching:
        return "requests get 404"
    best = max(matching, key=lambda other: len(other.prefix))
    return f"requests go to route {best.name}"


def _describe_destination(route: Route) -> str:
    if route.gathering is None:
        return _describe_shares(route.shares)
    shards = route.gathering.shards
    listed = ", ".join(shards[:MAX_LISTED_SHARDS])
    more = ", ..." if len(shards) > MAX_LISTED_SHARDS else ""
    return f"{len(shards)} shards ({listed}{more})"


def _describe_shares(shares: Sequence[ServiceShare]) -> str:
    """Names the services of a route, with their parts of the requests.

    >>> first = ServiceShare(service="a", weight=3)
    >>> second = ServiceShare(service="b", weight=1)
    >>> _describe_shares([first, second])
    'a (0.75), b (0.25)'
    """
    if len(shares) == 1:
        return shares[0].service
    total = sum(max(0.0, share.weight) for share in shares) or 1.0
    return ", ".join(
        f"{share.service} ({max(0.0, share.weight) / total:.3g})" for share in shares
    )


def _describe_services(old: Configuration, new: Configuration) -> Iterator[Change]:
    before = {service.service: service for service in old.services}
    after = {service.service: service for service in new.services}
    for name in before:
        if name not in after:
            effect = "its upstreams get no requests once no route names it"
            yield _build(f"service {name}", "dropped", effect)
    for name, service in after.items():
        if name not in before:
            effect = f"at most {service.max_connections} connections to an upstream"
            yield _build(f"service {name}", "added", effect)
        else:
            yield from _describe_fields(
                f"service {name}", before[name], service, _SERVICE_FIELDS
            )


def _describe_accounts(old: Configuration, new: Configuration) -> Iterator[Change]:
    before = {account.account: account for account in old.accounts}
    after = {account.account: account for account in new.accounts}
    if old.requires_keys != new.requires_keys or bool(before) != bool(after):
        change = f"{_count_accounts(old)} -> {_count_accounts(new)}"
        yield _build("accounts", change, _describe_need_for_keys(new))
    for name, account in before.items():
        if name not in after and after:
            effect = "requests with its keys get 401"
            yield _build(f"account {name}", "dropped", effect)
    for name, account in after.items():
        if name not in before:
            effect = f"valid keys: {len(account.keys)}"
            yield _build(f"account {name}", "added", effect)
        else:
            yield from _describe_account(before[name], account, after)


def _count_accounts(configuration: Configuration) -> str:
    return str(len(configuration.accounts)) if configuration.requires_keys else "none"


def _describe_need_for_keys(configuration: Configuration) -> str:
    if not configuration.requires_keys:
        return "no request needs a key any more"
    if not configuration.accounts:
        return "no key is valid; requests get 401, except on public routes"
    return "requests need keys, except on public routes"


def _describe_account(
    old: Account, new: Account, accounts: Mapping[str, Account]
) -> Iterator[Change]:
    """Describes the changes of an account; keys are counted, not shown."""
    subject = f"account {new.account}"
    valid = {key for account in accounts.values() for key in account.keys}
    withdrawn = set(old.keys) - set(new.keys)
    moved = withdrawn & valid
    if withdrawn - moved:
        change = f"keys withdrawn: {len(withdrawn - moved)}"
        yield _build(subject, change, "requests with them get 401")
    if moved:
        effect = "requests with them count for the other account"
        yield _build(subject, f"keys moved to another account: {len(moved)}", effect)
    added = len(set(new.keys) - set(old.keys))
    if added:
        yield _build(subject, f"keys added: {added}", "requests with them are accepted")
    yield from _describe_fields(subject, old, new, _ACCOUNT_FIELDS)


def _describe_fields(
    subject: str,
    old: msgspec.Struct,
    new: msgspec.Struct,
    fields: Mapping[str, tuple[str, str]],
) -> Iterator[Change]:
    for field, (label, effect) in fields.items():
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            change = f"{label}: {_format(before)} -> {_format(after)}"
            yield _build(subject, change, effect)


def _format(value: float | bool) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:.12g}"


def _build(subject: str, change: str, effect: str) -> Change:
    return Change(subject=subject, change=change, effect=effect)
