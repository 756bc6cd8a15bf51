"""Decides whether a request may run, and for which client account."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.exchange import CallerRequest
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._timing import RequestTimes
from skylarkcart.published import Route
from skylarkcart.types import AccountId

# An account over its rate that has no token for longer than this should not hold
# its caller's connection until then.
MAX_RETRY_AFTER_MS = 5_000.0

# Another instance may have what this one lacks, and a repeated request probably
# reaches another one.
ELSEWHERE_RETRY_AFTER_MS = 100.0


class RateFacts(msgspec.Struct, frozen=True, kw_only=True):
    """What an account's bucket held when it refused a request."""

    account: AccountId
    tokens: float
    rate_per_s: float
    reachable_part: float
    is_returning: bool


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request was not run; ``facts`` are the inputs that decided it."""

    status: int
    reason: str
    retry_after_ms: float | None = None
    facts: RateFacts | None = None


class Admitted(msgspec.Struct, frozen=True, kw_only=True):
    """A request's route, the account that it runs for, and when it is due."""

    route: Route
    account: AccountId | None
    times: RequestTimes


def admit(
    core: Core,
    request: CallerRequest,
    *,
    arrived_at: Millis,
    now: Millis,
    is_on_new_connection: bool,
) -> Admitted | Refusal:
    """Finds the route and the account, and takes the account's token."""
    table = core.table
    if table is None:
        return Refusal(
            status=503,
            reason="no_configuration",
            retry_after_ms=ELSEWHERE_RETRY_AFTER_MS,
        )
    route = table.find_route(request.host, request.path)
    if route is None:
        return Refusal(status=404, reason="no_route")
    times = core.callers.plan(
        request,
        route,
        arrived_at=arrived_at,
        margin_ms=core.answer_delays.get_margin_ms(),
        is_on_new_connection=is_on_new_connection,
    )
    if not table.needs_key(route):
        return Admitted(route=route, account=None, times=times)
    if not core.trusts_keys(now):
        return Refusal(
            status=503,
            reason="keys_not_confirmed",
            retry_after_ms=core.get_retry_after_ms(now),
        )
    account = table.find_account(request.key)
    if account is None:
        return Refusal(status=401, reason="unknown_key")
    if not core.quotas.try_spend(account.account, now, is_returning=times.is_returning):
        # It returns after that time.
        wait_ms = core.quotas.estimate_wait_ms(account.account, is_returning=True)
        return Refusal(
            status=429,
            reason="rate_exceeded",
            retry_after_ms=min(MAX_RETRY_AFTER_MS, wait_ms),
            facts=RateFacts(
                account=account.account,
                tokens=round(core.quotas.get_level(account.account), 1),
                rate_per_s=account.rate_per_s,
                reachable_part=round(core.quotas.reachable_part, 2),
                is_returning=times.is_returning,
            ),
        )
    return Admitted(route=route, account=account.account, times=times)
