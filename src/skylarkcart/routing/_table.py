"""Lookup of the routes and keys of one configuration version."""

from __future__ import annotations

import random

from skylarkcart.published import Account, Configuration, Route, Service
from skylarkcart.routing._weights import WeightedServices
from skylarkcart.types import AccountId, ServiceId


class RouteTable:
    """Looks up the route, account and service of a request.

    The table of the ``previous`` version lets the choice among services go on where it
    was; each version would otherwise begin with the same services.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        random: random.Random,
        previous: RouteTable | None = None,
    ) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._accounts_by_key = {
            key: account for account in configuration.accounts for key in account.keys
        }
        self.accounts: dict[AccountId, Account] = {
            account.account: account for account in configuration.accounts
        }
        self.services: dict[ServiceId, Service] = {
            service.service: service for service in configuration.services
        }
        choices = {} if previous is None else previous._weighted_services
        self._weighted_services = {
            route.name: WeightedServices(
                shares=route.shares,
                offset=random.random(),
                previous=choices.get(route.name),
            )
            for route in configuration.routes
            if route.shares
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching path prefix, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str | None) -> Account | None:
        """Returns the account that a key belongs to, or None."""
        return None if key is None else self._accounts_by_key.get(key)

    def needs_key(self, route: Route) -> bool:
        """Whether requests to the route need the key of a client account."""
        return self.configuration.requires_keys is not False and not route.is_public

    def choose_service(self, route: Route) -> ServiceId:
        """Selects a service of a route that is not scatter-gather, by weight."""
        return self._weighted_services[route.name].choose()

    def list_reachable_services(self) -> frozenset[ServiceId]:
        """Returns the services that the routes of this version may reach."""
        return frozenset(
            service
            for route in self.configuration.routes
            for service in list_services(route)
        )


def list_services(route: Route) -> tuple[ServiceId, ...]:
    """Returns the services that requests to a route may reach."""
    if route.gathering is not None:
        return route.gathering.shards
    return tuple(share.service for share in route.shares)
