"""Reads the platform's store and follows its changes."""

from __future__ import annotations

import asyncio

from skylarkcart.clock import Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.gateway._core import Core
from skylarkcart.platform._reading import decode_items
from skylarkcart.platform._store import HistoryLostError, StoreClient, StoreError

# All that the store holds concerns the gateway.
EVERYTHING = ""

# A watch without changes returns after this time and confirms the state, so that the
# keys in force stay trusted.
WATCH_MS = 1_200.0
ANSWER_TIMEOUT_MS = 900.0

# The pause after a failed call, doubled with each further one.
FIRST_PAUSE_MS = 100.0
MAX_PAUSE_MS = 800.0

# While the store is away, all instances try; together they need no more than one call
# in this time, as the first success is passed on.
FLEET_PAUSE_MS = 60.0

# Changes that follow each other within this time come with one call.
GATHER_CHANGES_MS = 120.0

# An instance whose call failed takes no part in reading while others do; it tries
# again after this time.
RETRY_READING_MS = 2_000.0

# A process that starts first asks other instances, since each call to the store is
# priced; when the whole fleet starts for the first time, the instances spread out.
ASK_PEERS_MS = 150.0
FIRST_START_SPREAD_MS = 5_000.0
PEER_CHECK_MS = 25.0
CONFIRM_WAIT_MS = 600.0

# How often an instance that does not read asks whether it should.
IDLE_PAUSE_MS = 200.0


class StoreReader:
    """Keeps the registry current while this instance is a reader."""

    def __init__(self, *, core: Core) -> None:
        self._core = core
        self._store = StoreClient(address=core.settings.platform_address)
        self._needs_snapshot = True
        self._failures = 0
        self._failed_at = core.now
        self._is_reachable: bool | None = None

    async def run(self) -> None:
        """Reads until cancelled."""
        try:
            await self._wait_for_peers()
            while True:
                await self._step()
        finally:
            self._store.close()

    async def _wait_for_peers(self) -> None:
        """Gives other instances time to pass on published state."""
        core = self._core
        wait_ms = ASK_PEERS_MS
        if core.settings.is_first_start:
            wait_ms += FIRST_START_SPREAD_MS * core.random.random()
        until = core.now + wait_ms
        while core.now < until and core.registry.confirmed_at is None:
            if core.registry.revision:
                # The next reports confirm what another instance passed on.
                until = max(until, core.now + CONFIRM_WAIT_MS)
                break
            await asyncio.sleep(PEER_CHECK_MS / 1000.0)
        while core.now < until and core.registry.confirmed_at is None:
            await asyncio.sleep(PEER_CHECK_MS / 1000.0)
        # State from another instance is followed by watching, like one's own.
        self._needs_snapshot = core.registry.revision == 0

    async def _step(self) -> None:
        core = self._core
        now = core.now
        age_ms = core.registry.get_age_ms(now)
        if not self._is_reader(now, age_ms):
            self._note_idle(now)
            await asyncio.sleep(IDLE_PAUSE_MS / 1000.0)
            return
        try:
            await self._read()
        except HistoryLostError as error:
            self._needs_snapshot = True
            core.log_warning("store_history_lost", detail=str(error))
            core.metrics.store_calls.labels("history_lost").inc()
        except StoreError as error:
            await self._handle_failure(error)
        else:
            self._handle_success()

    def _is_reader(self, now: Millis, age_ms: float) -> bool:
        core = self._core
        return core.fleet.is_reader(
            now, state_age_ms=age_ms, reaches_store=core.reaches_store
        )

    async def _read(self) -> None:
        core = self._core
        started_at = core.now
        if self._needs_snapshot or core.registry.revision == 0:
            page = await self._store.read_range(
                EVERYTHING, timeout_ms=ANSWER_TIMEOUT_MS
            )
            core.registry.note_store_back(core.now)
            changes = decode_items(page.items, on_error=self._log_unreadable)
            core.registry.apply_snapshot(changes, revision=page.revision, now=core.now)
            self._needs_snapshot = False
            confirmed_at = started_at
        else:
            page = await self._store.watch(
                EVERYTHING,
                after=core.registry.revision,
                wait_ms=WATCH_MS,
                timeout_ms=ANSWER_TIMEOUT_MS,
            )
            core.registry.note_store_back(core.now)
            changes = decode_items(page.items, on_error=self._log_unreadable)
            core.registry.apply_changes(changes, revision=page.revision, now=core.now)
            # Without changes, the store answered no sooner than it was told to.
            waited_ms = 0.0 if page.items else WATCH_MS
            confirmed_at = Millis(min(core.now, started_at + waited_ms))
        core.registry.confirm(confirmed_at)
        if changes:
            core.apply_published()
            await asyncio.sleep(GATHER_CHANGES_MS / 1000.0)

    async def _handle_failure(self, error: StoreError) -> None:
        core = self._core
        core.metrics.store_calls.labels("failed").inc()
        core.registry.note_store_away()
        if self._is_reachable is not False:
            self._is_reachable = False
            core.log_warning("store_lost", detail=str(error))
        core.reaches_store = False
        self._failed_at = core.now
        self._failures += 1
        longest_ms = max(MAX_PAUSE_MS, FLEET_PAUSE_MS * core.fleet.assumed_size)
        pause_ms = min(longest_ms, FIRST_PAUSE_MS * 2 ** (self._failures - 1))
        await asyncio.sleep(pause_ms * core.random.uniform(0.5, 1.0) / 1000.0)

    def _note_idle(self, now: Millis) -> None:
        """Lets an instance that failed become a reader again after some time."""
        core = self._core
        if not core.reaches_store and now - self._failed_at > RETRY_READING_MS:
            core.reaches_store = True

    def _handle_success(self) -> None:
        core = self._core
        core.metrics.store_calls.labels("ok").inc()
        core.reaches_store = True
        self._failures = 0
        if self._is_reachable is not True:
            self._is_reachable = True
            core.log.write("store_regained", revision=core.registry.revision)

    def _log_unreadable(self, error: InvalidValueError) -> None:
        self._core.log_warning("entry_unreadable", detail=str(error))
