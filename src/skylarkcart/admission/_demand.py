"""Which services requests of different priorities compete for, and who asks."""

from __future__ import annotations

from collections.abc import Set

import msgspec

from skylarkcart.admission._messages import AdmissionRequest, GroupKey
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


class _GroupDemand:
    """Recent requests to one group of services."""

    __slots__ = ("mean_work_ms", "latest")

    def __init__(self, *, mean_work_ms: float) -> None:
        self.mean_work_ms = mean_work_ms
        # The latest request of each priority, and when it came.
        self.latest: dict[int, tuple[Millis, AdmissionRequest]] = {}


class Demand:
    """Recent requests of each priority, by the group of services that they call."""

    def __init__(self) -> None:
        self._groups: dict[GroupKey, _GroupDemand] = {}

    def record(self, request: AdmissionRequest, now: Millis) -> None:
        """Records a request that comes for the first time."""
        group = self._groups.get(request.group)
        if group is None:
            group = _GroupDemand(mean_work_ms=request.work_ms)
            self._groups[request.group] = group
        group.mean_work_ms += WORK_WEIGHT * (request.work_ms - group.mean_work_ms)
        group.latest[request.priority] = (now, request)

    def get_mean_work_ms(self, request: AdmissionRequest) -> float:
        """Returns the mean work of recent requests, of all priorities, of its group."""
        group = self._groups.get(request.group)
        return request.work_ms if group is None else group.mean_work_ms

    def find_more_urgent(
        self, request: AdmissionRequest, now: Millis
    ) -> list[UrgentDemand]:
        """Returns the recent demand of higher priorities, the most urgent first."""
        group = self._groups.get(request.group)
        if group is None:
            return []
        return [
            UrgentDemand(
                priority=priority,
                tolerable_ms=latest.get_tolerable_wait_ms(seen_at),
                needed=latest.needed,
            )
            for priority, (seen_at, latest) in sorted(group.latest.items())
            if priority < request.priority and now - seen_at <= DEMAND_MEMORY_MS
        ]

    def keep_only(self, used: Set[GroupKey]) -> None:
        """Forgets the groups that no route calls any more."""
        for group in self._groups.keys() - used:
            del self._groups[group]


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
    return {account.choose_priority(route) for account in configuration.accounts}
