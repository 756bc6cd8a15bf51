"""Opens connections to upstreams before the first call needs them."""

from __future__ import annotations

from collections.abc import Iterable

from skylarkcart.clock import Millis
from skylarkcart.gateway._pool import UpstreamPool
from skylarkcart.replicas import Replicas
from skylarkcart.types import ServiceId

# Bounds the connections opened by one maintenance pass, so that it does not delay
# requests.
MAX_PRECONNECTS_PER_CHECK = 16


class Preconnector:
    """Opens a connection to each service that routes in use start to name.

    Otherwise, the first requests after a repartition would each open a connection to
    every shard. It is opened once: if requests are rarer than the idle timeout, a
    connection that is opened again after each timeout is rarely used. A service of a
    route without recent requests here gets none: the load balancer routes each caller
    to one instance, so that many instances of a large fleet have no callers, and
    upstreams limit the connections of the whole fleet.
    """

    def __init__(self, *, replicas: Replicas, pool: UpstreamPool) -> None:
        self._replicas = replicas
        self._pool = pool
        self._connected: set[ServiceId] = set()

    def connect(self, services_in_use: Iterable[ServiceId], now: Millis) -> None:
        """Opens connections to services that came into use, a few per call."""
        services = tuple(services_in_use)
        self._connected.intersection_update(services)
        opened = 0
        for service in services:
            if service in self._connected:
                continue
            replicas = self._replicas.list_replicas(service)
            if any(map(self._pool.has_connection, replicas)):
                self._connected.add(service)
            elif replicas and self._open_connection(service, now):
                self._connected.add(service)
                opened += 1
            if opened == MAX_PRECONNECTS_PER_CHECK:
                return

    def _open_connection(self, service: ServiceId, now: Millis) -> bool:
        """Opens a connection to an upstream of the service if one accepts it."""
        chosen = self._replicas.select(service, now=now, typical_ms=1.0)
        if (
            chosen is None
            or chosen.is_backed_off(now)
            or chosen.is_at_connection_limit(now)
        ):
            return False
        self._pool.preconnect(chosen)
        return True
