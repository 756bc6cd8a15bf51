"""Counts and limits the open connections of each stand-in upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

ConnectionKey = tuple[int, int]


class ConnectionCounters(Protocol):
    """The connection limit of one listening socket, and the counters kept for it."""

    open_connections: int
    peak_connections: int
    connections_opened: int
    connections_refused: int

    @property
    def connection_limit(self) -> int: ...


class ConnectionTracker:
    """Tracks the open connections by server port and client port."""

    def __init__(self, *, find_counters: Callable[[int], ConnectionCounters]) -> None:
        self._find_counters = find_counters
        self._transports: dict[ConnectionKey, asyncio.Transport] = {}
        self._without_request: set[ConnectionKey] = set()

    def register(self, key: ConnectionKey, transport: asyncio.Transport) -> None:
        """Counts a new connection, or aborts it if the limit is reached."""
        counters = self._find_counters(key[0])
        if (
            counters.connection_limit
            and counters.open_connections >= counters.connection_limit
        ):
            counters.connections_refused += 1
            transport.abort()
            return
        counters.open_connections += 1
        counters.connections_opened += 1
        counters.peak_connections = max(
            counters.peak_connections, counters.open_connections
        )
        self._transports[key] = transport
        self._without_request.add(key)

    def unregister(self, key: ConnectionKey) -> None:
        if self._transports.pop(key, None) is not None:
            self._find_counters(key[0]).open_connections -= 1
            self._without_request.discard(key)

    def claim_first_request(self, key: ConnectionKey) -> bool:
        """Returns whether this is the first request on its connection."""
        is_first_request = key in self._without_request
        self._without_request.discard(key)
        return is_first_request

    def abort(self, key: ConnectionKey) -> None:
        """Closes a connection at once, without a response."""
        transport = self._transports.get(key)
        if transport is not None:
            transport.abort()

    def abort_port(self, port: int) -> None:
        """Aborts every connection of a listening socket."""
        for key in [key for key in self._transports if key[0] == port]:
            self.abort(key)


def build_protocol(tracker: ConnectionTracker) -> type[asyncio.Protocol]:
    """Returns uvicorn's HTTP protocol, with connections registered in ``tracker``."""

    class TrackingProtocol(HttpToolsProtocol):
        def connection_made(self, transport: asyncio.Transport) -> None:
            super().connection_made(transport)
            server_port = transport.get_extra_info("sockname")[1]
            client_port = transport.get_extra_info("peername")[1]
            self._key = (server_port, client_port)
            tracker.register(self._key, transport)

        def connection_lost(self, error: Exception | None) -> None:
            super().connection_lost(error)
            tracker.unregister(self._key)

    return TrackingProtocol
