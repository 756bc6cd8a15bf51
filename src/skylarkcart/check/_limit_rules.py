"""Rules for names, services, client accounts and the limits of callers."""

from __future__ import annotations

from collections.abc import Iterator

from skylarkcart.check._findings import Finding, Rule
from skylarkcart.platform._field_paths import format_path
from skylarkcart.published import Account, Configuration
from skylarkcart.routing import list_services

# Clients commonly keep an idle connection for this time or longer, and then send their
# next request on it.
MIN_IDLE_TIMEOUT_MS = 5_000.0


def check_limits(configuration: Configuration) -> Iterator[Finding]:
    """Yields the findings for everything but routes."""
    yield from _check_names(configuration)
    yield from _check_services(configuration)
    yield from _check_accounts(configuration)
    yield from _check_keys(configuration.accounts)
    for index, account in enumerate(configuration.accounts):
        yield from _check_quota(index, account)
    yield from _check_callers(configuration)


def _check_names(configuration: Configuration) -> Iterator[Finding]:
    names_by_section = {
        "routes": [route.name for route in configuration.routes],
        "services": [service.service for service in configuration.services],
        "accounts": [account.account for account in configuration.accounts],
    }
    for section, names in names_by_section.items():
        field = "name" if section == "routes" else section.removesuffix("s")
        for index, name in enumerate(names):
            if name in names[:index]:
                path = format_path(section, index=index, field=field)
                detail = f"is {name!r}, as is that of an earlier entry"
                yield Finding(rule=Rule.DUPLICATE_NAME, path=path, detail=detail)


def _check_services(configuration: Configuration) -> Iterator[Finding]:
    used = {
        service for route in configuration.routes for service in list_services(route)
    }
    for index, service in enumerate(configuration.services):
        if service.service not in used:
            detail = f"no route names {service.service!r}"
            path = format_path("services", index=index)
            yield Finding(rule=Rule.UNUSED_SERVICE, path=path, detail=detail)
        for field in ("cold_start_ms", "cold_calls_per_s"):
            value = getattr(service, field)
            if value < 0:
                path = format_path("services", index=index, field=field)
                detail = "is below 0"
                yield Finding(rule=Rule.INVALID_NUMBER, path=path, detail=detail)


def _check_accounts(configuration: Configuration) -> Iterator[Finding]:
    if configuration.requires_keys and not configuration.accounts:
        path = format_path("accounts")
        detail = "is empty; no key is valid and only public routes can be used"
        yield Finding(rule=Rule.NO_KEYS, path=path, detail=detail)


def _check_keys(accounts: tuple[Account, ...]) -> Iterator[Finding]:
    """Finds keys that can't tell accounts apart; keys themselves are not reported."""
    owners: dict[str, int] = {}
    for index, account in enumerate(accounts):
        if not account.keys:
            path = format_path("accounts", index=index)
            detail = f"{account.account!r} has no keys and can't send requests"
            yield Finding(rule=Rule.NO_KEYS, path=path, detail=detail)
        for position, key in enumerate(account.keys):
            path = format_path("accounts", index=index, field="keys", position=position)
            owner = owners.setdefault(key, index)
            if not key or key != key.strip():
                detail = "is empty or has spaces around it, which headers don't carry"
                yield Finding(rule=Rule.EMPTY_KEY, path=path, detail=detail)
            elif owner != index:
                detail = f"is also a key of {accounts[owner].account!r}"
                yield Finding(rule=Rule.SHARED_KEY, path=path, detail=detail)
            elif key in account.keys[:position]:
                detail = "is an earlier key of the same account"
                yield Finding(rule=Rule.REPEATED_KEY, path=path, detail=detail)


def _check_quota(index: int, account: Account) -> Iterator[Finding]:
    rate, burst = account.rate_per_s, account.burst
    for field in ("rate_per_s", "burst", "priority"):
        if getattr(account, field) < 0:
            path = format_path("accounts", index=index, field=field)
            yield Finding(rule=Rule.INVALID_NUMBER, path=path, detail="is below 0")
    if rate < 0 or burst < 0:
        return
    path = format_path("accounts", index=index, field="burst")
    if rate == 0 and burst > 0:
        detail = f"is {burst:g}, but without a rate the account has no limit"
        yield Finding(rule=Rule.UNUSED_BURST, path=path, detail=detail)
    elif rate > 0 and burst < 1:
        detail = f"is {burst:g} and counts as 1: two requests at once are too many"
        yield Finding(rule=Rule.BURST_BELOW_ONE, path=path, detail=detail)
    elif burst > rate > 0:
        detail = (
            f"is {burst:g}, above the {rate:g} requests of a second: once spent, it is "
            f"full again after {burst / rate:.3g} s"
        )
        yield Finding(rule=Rule.BURST_ABOVE_RATE, path=path, detail=detail)


def _check_callers(configuration: Configuration) -> Iterator[Finding]:
    limits = configuration.limits
    for field in ("max_header_bytes", "header_timeout_ms", "idle_timeout_ms"):
        if getattr(limits, field) <= 0:
            path = format_path("limits", field=field)
            detail = "is not above 0; no caller could send a request"
            yield Finding(rule=Rule.INVALID_NUMBER, path=path, detail=detail)
    if 0 < limits.idle_timeout_ms < MIN_IDLE_TIMEOUT_MS:
        path = format_path("limits", field="idle_timeout_ms")
        detail = (
            f"is {limits.idle_timeout_ms:g}; callers keep idle connections for "
            f"{MIN_IDLE_TIMEOUT_MS:g} ms and would send on closed ones"
        )
        yield Finding(rule=Rule.SHORT_IDLE_TIMEOUT, path=path, detail=detail)
