"""Routes and keys of one configuration version."""

from __future__ import annotations

import random

from skylarkcart.published import Account, Configuration, Route, Service
from skylarkcart.routing._weights import WeightedServices
from skylarkcart.types import AccountId, ServiceId


class RouteTable:
    """Answers which route, account and service a request belongs to."""

    def __init__(self, *, configuration: Configuration, random: random.Random) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._accounts = {
            key: account for account in configuration.accounts for key in account.keys
        }
        self.accounts: dict[AccountId, Account] = {
            account.account: account for account in configuration.accounts
        }
        self.services: dict[ServiceId, Service] = {
            service.service: service for service in configuration.services
        }
        self._weighted = {
            route.name: WeightedServices(shares=route.shares, offset=random.random())
            for route in configuration.routes
            if route.shares
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of the path, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_account(self, key: str | None) -> Account | None:
        """Returns the account that holds a key, or None."""
        return None if key is None else self._accounts.get(key)

    def needs_key(self, route: Route) -> bool:
        """Whether only a client account's requests may use the route."""
        return bool(self.configuration.accounts) and not route.is_public

    def choose_service(self, route: Route) -> ServiceId:
        """Chooses one of the services of a route without gathering."""
        return self._weighted[route.name].choose()

    def list_used_services(self) -> frozenset[ServiceId]:
        """Returns the services that a route of this version names."""
        return frozenset(
            service
            for route in self.configuration.routes
            for service in list_services(route)
        )


def list_services(route: Route) -> tuple[ServiceId, ...]:
    """Returns the services that a route's requests may reach."""
    if route.gathering is not None:
        return route.gathering.shards
    return tuple(share.service for share in route.shares)
