"""Lifecycle of a gateway instance."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

from skylarkcart.clock import Millis, SystemClock
from skylarkcart.gateway._caller_connection import CallerConnection
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._pages import serve_metrics, serve_readiness
from skylarkcart.gateway._peers import PeerLink, StateTransfer
from skylarkcart.gateway._reader import StoreReader
from skylarkcart.gateway._requests import RequestService
from skylarkcart.gateway._room_gate import record_lateness, update_room_metrics
from skylarkcart.gateway_settings import GatewaySettings
from skylarkcart.lifecycle import DrainSchedule
from skylarkcart.supervision import supervise

MAINTENANCE_INTERVAL_S = 0.25
STOP_POLL_INTERVAL_S = 0.05

# Pending connections in the listen queue while the process is busy.
ACCEPT_BACKLOG = 1_024

# While draining, an idle connection is closed after this time without a request.
DRAIN_MAX_IDLE_MS = 300.0

# After listening has stopped, the requests of connections that were just accepted are
# still read and answered for this time.
SETTLE_MS = 200.0
SETTLE_MAX_IDLE_MS = 100.0

# Time for sending the last responses before the process ends.
FLUSH_MS = 300.0


class GatewayInstance:
    """Starts the components of an instance and shuts them down gracefully."""

    def __init__(self, *, settings: GatewaySettings) -> None:
        # The start time in milliseconds orders successive processes of one instance.
        self._incarnation = time.time_ns() // 1_000_000
        self._core = Core(
            settings=settings,
            clock=SystemClock(),
            random=random.Random(),
            incarnation=self._incarnation,
        )
        self._service = RequestService(core=self._core)
        self._connections: set[CallerConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._unready_reason: str | None = "starting"
        self._servers: list[asyncio.AbstractServer] = []

    async def start(self) -> None:
        """Opens all sockets; requests are refused until a configuration is loaded."""
        core, settings = self._core, self._core.settings
        core.log.start()
        loop = asyncio.get_running_loop()
        peer_link = PeerLink(core=core, incarnation=self._incarnation)
        await loop.create_datagram_endpoint(
            lambda: peer_link, local_addr=(settings.peer_host, settings.peer_port)
        )
        transfer = StateTransfer(core=core, peer_link=peer_link)
        caller, ready = settings.caller_address, settings.readiness_address
        self._servers = [
            await loop.create_server(
                self._build_connection, caller.host, caller.port, backlog=ACCEPT_BACKLOG
            ),
            await serve_readiness(core, ready),
            await serve_metrics(core, settings.peer_host, settings.metrics_port),
            await asyncio.start_server(
                transfer.serve, settings.peer_host, settings.peer_port
            ),
        ]
        self._peer_link = peer_link
        self._start_task("reports", peer_link.run)
        self._start_task("state_transfer", transfer.run)
        self._start_task("store_reader", StoreReader(core=core).run)
        self._start_task("maintenance", self._run_maintenance)
        core.log.write(
            "started",
            zone=settings.zone,
            incarnation=self._incarnation,
            address=str(caller),
        )

    def reload(self, settings: GatewaySettings) -> None:
        """Applies settings that may change at run time."""
        self._core.settings = settings
        self._core.log.write("settings_reloaded", zone=settings.zone)

    def log_invalid_settings(self, detail: str) -> None:
        """Logs invalid settings; the current settings remain in effect."""
        self._core.log_warning("settings_rejected", detail=detail)

    def record_settings_error(self, error: Exception) -> None:
        """Records an unexpected error; the current settings remain in effect."""
        self._core.record_error("settings", error)

    async def drain_and_stop(self) -> None:
        """Fails readiness, completes running requests and closes connections."""
        core = self._core
        drain = core.begin_drain()
        core.log.write("draining", running=core.lifecycle.running)
        self._peer_link.send_reports()
        while not core.lifecycle.may_stop(core.now) and not drain.has_ended(core.now):
            if core.now >= drain.closes_idle_from:
                self._close_idle_connections(min_idle_ms=DRAIN_MAX_IDLE_MS)
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        await self._answer_accepted_connections(drain)
        for connection in list(self._connections):
            connection.expire()
        self._close_idle_connections(min_idle_ms=0.0)
        await self._wait_until_closed(Millis(core.now + FLUSH_MS))
        self.stop_immediately()
        core.log.write("stopped", running=core.lifecycle.running)
        core.log.flush()

    async def _answer_accepted_connections(self, drain: DrainSchedule) -> None:
        """Stops listening and answers what accepted connections still send."""
        core = self._core
        self._servers[0].close()
        settled_at = core.now + SETTLE_MS
        while self._connections and (
            core.now < settled_at
            or (core.lifecycle.running and not drain.has_ended(core.now))
        ):
            self._close_idle_connections(min_idle_ms=SETTLE_MAX_IDLE_MS)
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def _close_idle_connections(self, *, min_idle_ms: float) -> None:
        for connection in list(self._connections):
            connection.close_if_idle(min_idle_ms=min_idle_ms)

    async def _wait_until_closed(self, deadline: Millis) -> None:
        """Waits until the caller connections have sent their last bytes."""
        while self._connections and self._core.now < deadline:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)

    def stop_immediately(self) -> None:
        """Closes all sockets without waiting for running requests."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self._peer_link.close()
        self._core.log.stop()

    def _build_connection(self) -> CallerConnection:
        connection = CallerConnection(
            service=self._service, on_connection_lost=self._connections.discard
        )
        self._connections.add(connection)
        return connection

    async def _run_maintenance(self) -> None:
        core = self._core
        # An error of one step must not keep the others from running.
        steps: tuple[Callable[[], None], ...] = (
            self._check_connection_timeouts,
            self._remove_expired_state,
            lambda: core.pool.close_idle(core.now),
            core.probe_unreachable,
            core.log_zone_reachability,
            core.preconnect,
            core.update_cold_call_rates,
            self._refresh_readiness,
            lambda: update_room_metrics(core),
        )
        while True:
            due_at = core.now + MAINTENANCE_INTERVAL_S * 1_000.0
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._record_lateness(core.now - due_at)
            for step in steps:
                try:
                    step()
                except Exception as error:
                    core.record_task_error("maintenance", error)

    def _record_lateness(self, late_ms: float) -> None:
        unsent = sum(connection.unsent_bytes for connection in self._connections)
        record_lateness(self._core, late_ms=late_ms, unsent_bytes=unsent)

    def _check_connection_timeouts(self) -> None:
        for connection in list(self._connections):
            connection.check_timeouts(self._core.now)

    def _remove_expired_state(self) -> None:
        if self._core.registry.remove_expired(self._core.now):
            self._core.apply_published_state()

    def _refresh_readiness(self) -> None:
        core, now = self._core, self._core.now
        self._update_readiness(core.find_unready_reason(now), now)
        core.metrics.state_age.set(core.registry.get_age_ms(now) / 1000.0)
        core.metrics.state_revision.set(core.registry.revision)
        core.metrics.state_era.set(core.registry.era)
        core.metrics.configuration_version.set(core.configuration_version)
        core.metrics.caller_bytes.set(core.caller_account.held)
        core.metrics.caller_connections.set(len(core.caller_account.shares))

    def _update_readiness(self, reason: str | None, now: Millis) -> None:
        core = self._core
        core.update_readiness(reason, now)
        if reason == self._unready_reason:
            return
        self._unready_reason = reason
        core.log.write(
            "readiness_changed",
            is_ready=reason is None,
            reason=reason,
            state_age_ms=round(min(1e9, core.registry.get_age_ms(core.now))),
        )

    def _start_task(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        def record_error(error: Exception) -> float:
            return self._core.record_task_error(name, error)

        task = asyncio.get_running_loop().create_task(
            supervise(run, on_error=record_error)
        )
        self._tasks.add(task)
