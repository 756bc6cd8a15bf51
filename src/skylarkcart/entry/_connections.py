"""Reports when client connections open and close, and closes faulty ones.

A closed connection can mean that the upstream's process has ended. aiohttp has no
public hook for an idle connection that is closed and dropped from its pool, so the
connector's protocol factory is replaced by one whose protocols report these events.
"""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from skylarkcart.platform._response_heads import is_final

# Idle connections are kept for a long time, as an open connection shows that the
# upstream process is still running.
KEEPALIVE_TIMEOUT_S = 300.0

ConnectionOpenedCallback = Callable[[str], None]
ConnectionClosedCallback = Callable[[str, bool], None]


class ObservedResponseHandler(ResponseHandler):
    """Reports the ``host:port`` of its connection and whether the peer closed it."""

    def __init__(
        self,
        *,
        loop: asyncio.AbstractEventLoop,
        on_opened: ConnectionOpenedCallback,
        on_closed: ConnectionClosedCallback,
    ) -> None:
        super().__init__(loop=loop)
        self._on_opened = on_opened
        self._on_closed = on_closed
        self._address = ""
        self._is_closed_locally = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        host, port = transport.get_extra_info("peername")[:2]
        self._address = f"{host}:{port}"
        self._on_opened(self._address)

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        if self._address:
            self._on_closed(self._address, not self._is_closed_locally)

    def close(self) -> None:
        self._is_closed_locally = True
        super().close()

    def abort(self) -> None:
        self._is_closed_locally = True
        super().abort()


class InvalidStatusError(aiohttp.ClientError):
    """The status of a response is none that an answer can have."""


class CheckedResponse(aiohttp.ClientResponse):
    """Closes the connection instead of returning a response that is no answer."""

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        # A response that has arrived completely has already released its connection.
        protocol = connection.protocol
        await super().start(connection)
        if not is_final(self.status):
            protocol.close()
            raise InvalidStatusError(f"status {self.status} is no HTTP status")
        return self


def build_connector(
    *,
    limit_per_host: int,
    on_opened: ConnectionOpenedCallback,
    on_closed: ConnectionClosedCallback,
) -> aiohttp.TCPConnector:
    """Returns a connector that limits and reports the connections to each host."""
    connector = aiohttp.TCPConnector(
        limit=0, limit_per_host=limit_per_host, keepalive_timeout=KEEPALIVE_TIMEOUT_S
    )
    connector._factory = functools.partial(
        ObservedResponseHandler,
        loop=asyncio.get_running_loop(),
        on_opened=on_opened,
        on_closed=on_closed,
    )
    return connector
