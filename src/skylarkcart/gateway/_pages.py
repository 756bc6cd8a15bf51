"""HTTP endpoints for readiness and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httptools

from skylarkcart.gateway._core import Core
from skylarkcart.published import Address


class _PageProtocol(asyncio.Protocol):
    """Responds to every request with the status and body from ``render``."""

    def __init__(self, *, render: Callable[[], tuple[int, bytes]]) -> None:
        self._render = render
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._transport.abort()

    def on_message_complete(self) -> None:
        status, body = self._render()
        reason = b"OK" if status == 200 else b"Service Unavailable"
        head = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n\r\n"
        self._transport.write(head % (status, reason, len(body)) + body)
        if not self._parser.should_keep_alive():
            self._transport.close()


async def serve_readiness(core: Core, address: Address) -> asyncio.AbstractServer:
    """Serves the readiness probe of the load balancer."""

    def render() -> tuple[int, bytes]:
        core.lifecycle.record_probe()
        reason = core.find_unready_reason(core.now)
        return (200, b"ready") if reason is None else (503, reason.encode())

    return await _serve(render, address.host, address.port)


async def serve_metrics(core: Core, host: str, port: int) -> asyncio.AbstractServer:
    """Serves the metrics in the Prometheus text format."""
    return await _serve(lambda: (200, core.metrics.render()), host, port)


async def _serve(
    render: Callable[[], tuple[int, bytes]], host: str, port: int
) -> asyncio.AbstractServer:
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: _PageProtocol(render=render), host, port)
