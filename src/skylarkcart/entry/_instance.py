"""Startup, draining and shutdown of an entry instance."""

from __future__ import annotations

import asyncio
import random
import uuid

import aiohttp

from skylarkcart.clock import Clock, SystemClock
from skylarkcart.entry._callers import CallerRoutes
from skylarkcart.entry._client import UpstreamClient
from skylarkcart.entry._connections import CheckedResponse
from skylarkcart.entry._fleet import build_peer_messages
from skylarkcart.entry._logging import log_event
from skylarkcart.entry._peers import PeerExchange
from skylarkcart.entry._platform_watcher import PlatformWatcher
from skylarkcart.entry._settings import Settings
from skylarkcart.entry._state import InstanceState
from skylarkcart.entry._tracing import Tracing
from skylarkcart.entry._warm_up_runner import WarmUpRunner
from skylarkcart.entry.http_server import HttpServer, bind_address, format_address
from skylarkcart.platform import HttpPlatform

POLL_INTERVAL_S = 0.02

# Rights that other instances have not taken over by then expire with their lease.
RELEASE_TIMEOUT_MS = 1_500.0


class EntryInstance:
    """An entry instance on the running event loop, from start to stop.

    Example::

        instance = EntryInstance(settings=settings, seed=1)
        await instance.start()
        await instance.wait_ready()
        ...
        await instance.drain_and_stop()
    """

    def __init__(
        self, *, settings: Settings, seed: int | None = None, clock: Clock | None = None
    ) -> None:
        self.settings = settings
        self.incarnation = settings.incarnation or uuid.uuid4().hex
        self._peer_listener = bind_address(settings.peer_address)
        self.peer_address = format_address(self._peer_listener)
        self.state = InstanceState(
            settings=settings,
            incarnation=self.incarnation,
            peer_address=self.peer_address,
            clock=clock or SystemClock(),
            random=random.Random(seed),
        )
        self._listener = bind_address(settings.address)
        self.address = format_address(self._listener)
        self._tracing = Tracing(settings=settings)
        self.peers = PeerExchange(
            instance=settings.instance,
            fleet_secret=settings.fleet_secret,
            clock=self.state.clock,
            fleet=self.state.fleet,
            metrics=self.state.metrics,
        )

    async def start(self) -> None:
        """Starts the servers.

        The instance is ready later, when it has received the published values.
        """
        self._platform_session = aiohttp.ClientSession(response_class=CheckedResponse)
        platform = HttpPlatform(
            url=self.settings.platform_url, session=self._platform_session
        )
        self._client = UpstreamClient(
            on_opened=self.state.record_connection_opened,
            on_closed=self.state.record_connection_closed,
        )
        self._platform_watcher = PlatformWatcher(state=self.state, platform=platform)
        routes = CallerRoutes(
            state=self.state,
            client=self._client,
            tracing=self._tracing,
            peers=self.peers,
        )
        self._server = HttpServer(
            application=routes.build_application(), sockets=[self._listener]
        )
        self._peer_server = HttpServer(
            application=self.peers.build_application(), sockets=[self._peer_listener]
        )
        await self._server.start()
        await self._peer_server.start()
        await self.peers.start()
        self._platform_watcher.start()
        self._warm_up_runner = WarmUpRunner(
            state=self.state, client=self._client, tracing=self._tracing
        )
        self._warm_up_runner.start()
        log_event("started", instance=self.settings.instance, address=self.address)

    async def wait_ready(self) -> None:
        while not self.state.lifecycle.is_ready:
            await asyncio.sleep(POLL_INTERVAL_S)

    async def drain_and_stop(self) -> None:
        """Shuts down gracefully.

        Readiness fails first. The servers stop once the linger time has passed and
        stopping can't interrupt a request.
        """
        lifecycle = self.state.lifecycle
        lifecycle.begin_drain(self.state.now)
        log_event("draining", linger_ms=self.settings.linger_ms)
        self.peers.send(self.state.fleet.begin_leave(self.state.now))
        while not lifecycle.may_stop(self.state.now):
            await asyncio.sleep(POLL_INTERVAL_S)
        lifecycle.stop_listening(self.state.now)
        await self._server.stop()
        lifecycle.stop()
        await self._release_rights()
        await self.close()
        log_event("stopped", instance=self.settings.instance)

    async def _release_rights(self) -> None:
        """Releases rights early and waits until other instances may take them over.

        Without this, they could take over only after the lease expires.
        """
        limits = self.state.fleet.limits
        self.peers.send(build_peer_messages(limits.release_upstreams(self.state.now)))
        wait_deadline = self.state.now + RELEASE_TIMEOUT_MS
        while (
            not limits.has_released(self.state.now) and self.state.now < wait_deadline
        ):
            await asyncio.sleep(POLL_INTERVAL_S)
        await self.peers.flush()

    async def close(self) -> None:
        """Stops the background tasks and closes the connections."""
        await self._warm_up_runner.stop()
        await self._platform_watcher.stop()
        await self.peers.stop()
        await self._peer_server.stop()
        await self._client.close()
        await self._platform_session.close()
        self._tracing.shutdown()
