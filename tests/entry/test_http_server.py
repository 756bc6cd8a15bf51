"""Guards against a shutdown that waits for a connection nobody closes."""

from __future__ import annotations

import asyncio
import socket

from blacksheep import Application

from skylarkcart.entry.http_server import HttpServer, bind_address


async def test_connection_accepted_during_the_shutdown_is_closed() -> None:
    """The load balancer's probes keep a connection open that was accepted late."""
    server = HttpServer(
        application=Application(), sockets=[bind_address("127.0.0.1:0")]
    )
    await server.start()
    stopping = asyncio.create_task(server.stop())
    await asyncio.sleep(0.05)
    config = server._server.config
    local, remote = socket.socketpair()
    local.setblocking(False)
    await asyncio.get_running_loop().connect_accepted_socket(
        lambda: config.http_protocol_class(
            config=config, server_state=server._server.server_state, app_state={}
        ),
        local,
    )
    async with asyncio.timeout(3):
        await stopping
    remote.close()
