"""Which services requests of different priorities compete for, and who asks."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.published import Configuration, Route
from skylarkcart.types import ServiceId

# Less urgent requests give way to a priority for this time after a request of it.
DEMAND_MEMORY_MS = 10_000.0

# Weight of one request in the moving average of the work of calls.
WORK_WEIGHT = 0.1


class UrgentDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Recent requests of the highest priority.

    ``tolerable_ms`` is how long their calls could wait, and ``needed`` the number of
    services that they need to answer.
    """

    priority: int
    tolerable_ms: float
    needed: int


class _PriorityDemand(msgspec.Struct, kw_only=True):
    seen_at: Millis
    tolerable_ms: float
    needed: int


class Demand:
    """Recent requests of each priority, by the services that they call."""

    def __init__(self) -> None:
        self._by_services: dict[tuple[ServiceId, ...], dict[int, _PriorityDemand]] = {}
        self._mean_work_ms: dict[tuple[ServiceId, ...], float] = {}

    def record_work(self, services: tuple[ServiceId, ...], work_ms: float) -> None:
        """Records how long the calls of a request take without waiting."""
        mean_ms = self._mean_work_ms.get(services, work_ms)
        self._mean_work_ms[services] = mean_ms + WORK_WEIGHT * (work_ms - mean_ms)

    def get_mean_work_ms(self, services: tuple[ServiceId, ...]) -> float:
        """Returns the mean work of the calls of recent requests of all priorities."""
        return self._mean_work_ms.get(services, 0.0)

    def record(
        self,
        services: tuple[ServiceId, ...],
        *,
        priority: int,
        tolerable_ms: float,
        needed: int,
        now: Millis,
    ) -> None:
        priorities = self._by_services.setdefault(services, {})
        demand = priorities.get(priority)
        if demand is None:
            priorities[priority] = _PriorityDemand(
                seen_at=now, tolerable_ms=tolerable_ms, needed=needed
            )
            return
        demand.seen_at = now
        demand.tolerable_ms = tolerable_ms
        demand.needed = needed

    def find_more_urgent(
        self, services: tuple[ServiceId, ...], *, priority: int, now: Millis
    ) -> list[UrgentDemand]:
        """Returns the recent demand of higher priorities, the most urgent first."""
        priorities = self._by_services.get(services, {})
        return [
            UrgentDemand(
                priority=other, tolerable_ms=demand.tolerable_ms, needed=demand.needed
            )
            for other, demand in sorted(priorities.items())
            if other < priority and now - demand.seen_at <= DEMAND_MEMORY_MS
        ]

    def keep_only(self, used: Iterable[tuple[ServiceId, ...]]) -> None:
        """Forgets the services that no route calls together any more."""
        kept = frozenset(used)
        for services in set(self._by_services) - kept:
            del self._by_services[services]
        for services in set(self._mean_work_ms) - kept:
            del self._mean_work_ms[services]


def find_contended_services(configuration: Configuration) -> dict[ServiceId, int]:
    """Returns the services that requests of different priorities may reach.

    The values are the highest of these priorities, as numbers the lowest. The priority
    of an account goes before the one of the route.
    """
    priorities: dict[tuple[ServiceId, ...], set[int]] = {}
    for route in configuration.routes:
        found = _list_priorities(route, configuration)
        for services in list_service_groups(route):
            priorities.setdefault(services, set()).update(found)
    by_service: dict[ServiceId, set[int]] = {}
    for services, found in priorities.items():
        for service in services:
            by_service.setdefault(service, set()).update(found)
    return {name: min(found) for name, found in by_service.items() if len(found) > 1}


def list_service_groups(route: Route) -> tuple[tuple[ServiceId, ...], ...]:
    """Returns the groups of services that one request of a route may call."""
    if route.gathering is not None:
        return (route.gathering.shards,)
    return tuple((share.service,) for share in route.shares)


def _list_priorities(route: Route, configuration: Configuration) -> set[int]:
    if route.is_public or not configuration.accounts:
        return {route.priority}
    return {
        route.priority if account.priority is None else account.priority
        for account in configuration.accounts
    }
