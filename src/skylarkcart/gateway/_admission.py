"""Admission control: route lookup, API key check and rate limiting."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.gateway._core import MIN_RETRY_AFTER_MS, Core
from skylarkcart.gateway._timing import RequestDeadlines
from skylarkcart.published import Route
from skylarkcart.types import AccountId

# Upper bound of the Retry-After for a rate-limited account: its caller should not hold
# a connection open while it waits longer for a token.
MAX_RETRY_AFTER_MS = 5_000.0

# Retry-After while this instance has no configuration: another instance may have one,
# and a retry probably reaches another instance.
OTHER_INSTANCE_RETRY_AFTER_MS = 100.0


class RateLimitDetails(msgspec.Struct, frozen=True, kw_only=True):
    """State of an account's token bucket when it refused a request."""

    account: AccountId
    tokens: float
    rate_per_s: float
    reachable_part: float
    is_returning: bool


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request is refused; ``facts`` are the inputs of the decision."""

    status: int
    reason: str
    retry_after_ms: float | None = None
    facts: RateLimitDetails | None = None


class AdmittedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted request's route, account and deadlines."""

    route: Route
    account: AccountId | None
    deadlines: RequestDeadlines


def admit(
    core: Core,
    request: CallerRequest,
    *,
    arrived_at: Millis,
    now: Millis,
    is_on_new_connection: bool,
) -> AdmittedRequest | Refusal:
    """Resolves the route and the account, and takes a token of the account."""
    table = core.table
    if table is None:
        return Refusal(
            status=503,
            reason="no_configuration",
            retry_after_ms=OTHER_INSTANCE_RETRY_AFTER_MS,
        )
    route = table.find_route(request.host, request.path)
    if route is None:
        return Refusal(status=404, reason="no_route")
    deadlines = core.elapsed_times.compute_deadlines(
        request,
        route,
        arrived_at=arrived_at,
        margin_ms=core.response_delays.get_margin_ms(),
        is_on_new_connection=is_on_new_connection,
    )
    if core.drain is not None:
        target_latency_ms = route.target_latency_ms or route.timeout_ms
        if not core.drain.may_begin(now, target_latency_ms=target_latency_ms):
            return Refusal(
                status=503, reason="draining", retry_after_ms=MIN_RETRY_AFTER_MS
            )
        deadlines = deadlines.limit_to(core.drain.ends_at)
    if not table.needs_key(route):
        return AdmittedRequest(route=route, account=None, deadlines=deadlines)
    if not core.has_current_keys(now):
        return Refusal(
            status=503,
            reason="keys_not_confirmed",
            retry_after_ms=core.get_retry_after_ms(now),
        )
    account = table.find_account(request.key)
    if account is None:
        return Refusal(status=401, reason="unknown_key")
    if not core.quotas.try_spend(account.account, now, is_retry=deadlines.is_retry):
        # The estimate is for the caller's retry of this request.
        wait_ms = core.quotas.estimate_wait_ms(account.account, is_retry=True)
        return Refusal(
            status=429,
            reason="rate_exceeded",
            retry_after_ms=min(MAX_RETRY_AFTER_MS, wait_ms),
            facts=RateLimitDetails(
                account=account.account,
                tokens=round(core.quotas.get_level(account.account), 1),
                rate_per_s=account.rate_per_s,
                reachable_part=round(core.quotas.reachable_fraction, 2),
                is_returning=deadlines.is_retry,
            ),
        )
    return AdmittedRequest(route=route, account=account.account, deadlines=deadlines)
