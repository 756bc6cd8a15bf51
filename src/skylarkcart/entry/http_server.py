"""HTTP servers that run within an existing event loop."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator

import uvicorn
from blacksheep import Application, Request, Response, Router

KEEP_ALIVE_S = 75
START_POLL_INTERVAL_S = 0.005
TICK_INTERVAL_S = 0.1
LATE_CONNECTION_INTERVAL_S = 0.1


RequestHandler = Callable[[Request], Awaitable[Response]]


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that stops immediately on request.

    uvicorn's own main loop checks for the request only every 100 ms, and its shutdown
    closes only the connections that exist when it begins, but waits for all.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self._exit_requested = asyncio.Event()

    def request_exit(self) -> None:
        self.should_exit = True
        self._exit_requested.set()

    async def main_loop(self) -> None:
        ticks = 0
        while not await self.on_tick(ticks):
            ticks += 1
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_INTERVAL_S):
                    await self._exit_requested.wait()

    async def shutdown(self, sockets: list[socket.socket] | None = None) -> None:
        closing = asyncio.create_task(self._close_late_connections())
        try:
            await super().shutdown(sockets)
        finally:
            closing.cancel()

    async def _close_late_connections(self) -> None:
        """Closes connections that were accepted while the shutdown began.

        A connection is left open for one interval, so that its first request is
        answered.
        """
        known: set[asyncio.Protocol] = set()
        while True:
            await asyncio.sleep(LATE_CONNECTION_INTERVAL_S)
            connections = set(self.server_state.connections)
            for connection in connections & known:
                # Closes it at once if it is idle, or after its response.
                connection.shutdown()
            known = connections

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        # Signals are handled by the process, not by each of its servers.
        yield


class HttpServer:
    """Serves a blacksheep application on the given listening sockets.

    uvicorn runs on the asyncio event loop rather than on uvloop, because uvloop's libuv
    contains io_uring code. ``protocol`` may be replaced, for example by a class that
    counts connections.
    """

    def __init__(
        self,
        *,
        application: Application,
        sockets: list[socket.socket],
        protocol: type[asyncio.Protocol] | str = "httptools",
    ) -> None:
        self._application = application
        self._sockets = sockets
        config = uvicorn.Config(
            application,
            loop="asyncio",
            http=protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        self._server = _EmbeddedServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the server and returns when it accepts connections."""
        await self._application.start()
        self._task = asyncio.create_task(self._server.serve(sockets=self._sockets))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise RuntimeError("the HTTP server ended before it started")
            await asyncio.sleep(START_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Stops listening and waits for the requests in progress."""
        if self._task is None:
            return
        self._server.request_exit()
        await self._task
        await self._application.stop()


def add_route(
    router: Router, method: str, pattern: str, handler: RequestHandler
) -> None:
    """Adds a route whose handler is a bound method.

    blacksheep sets an attribute on each handler, which bound methods don't support, so
    the method is wrapped in a function.
    """

    async def handle(request: Request) -> Response:
        return await handler(request)

    router.add(method, pattern, handle)


def bind_address(address: str) -> socket.socket:
    """Binds a TCP socket to ``a.b.c.d:port``; port 0 selects a free port."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.setblocking(False)
    return listener


def format_address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"
