"""Maps a request to its route, client account and service."""

from __future__ import annotations

from skylarkcart.routing._table import RouteTable, list_services
from skylarkcart.routing._weights import WeightedServices

__all__ = ["RouteTable", "WeightedServices", "list_services"]
