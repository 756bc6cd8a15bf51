"""Reads published state from the platform's store and watches for changes."""

from __future__ import annotations

import asyncio

from skylarkcart.backoff import compute_backoff_ms
from skylarkcart.clock import Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._era_check import check_watched_era, resolve_era
from skylarkcart.gateway._kept_state import update_survey
from skylarkcart.platform._store import HistoryLostError, StoreClient, StoreError
from skylarkcart.platform._store_items import decode_items
from skylarkcart.registry import Change, StatePosition
from skylarkcart.types import NO_ERA

MILLISECONDS_PER_SECOND = 1000.0

# The gateway uses all keys of the store.
ALL_KEYS_PREFIX = ""

# A watch without changes returns after this time and confirms that the state is
# current, so that API keys remain trusted.
WATCH_WAIT_MS = 1_200.0
RESPONSE_TIMEOUT_MS = 900.0

# Exponential backoff after failed calls to the store.
INITIAL_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 800.0

# While the store is unreachable, all instances retry. The backoff grows with the fleet,
# to about one call of the whole fleet in this time; the first instance that succeeds
# passes the state on.
MAX_BACKOFF_PER_INSTANCE_MS = 60.0

# Delay before the next watch, so that successive changes arrive in one call.
CHANGE_BATCH_MS = 120.0

# An instance whose call failed leaves reading to others and becomes eligible again
# after this time.
READER_RETRY_MS = 2_000.0

# Calls to the store are billed, so a starting process first waits for state from peers,
# for a shorter time if none of them states that it has any: all may have started.
# When the whole fleet starts for the first time, a random delay spreads the instances.
PEER_WAIT_MS = 150.0
PEER_WAIT_WITHOUT_STATE_MS = 50.0
FIRST_START_JITTER_MS = 5_000.0
PEER_POLL_INTERVAL_MS = 25.0
CONFIRMATION_WAIT_MS = 600.0

# How often an instance that is not a reader checks whether it should be one.
READER_CHECK_INTERVAL_MS = 200.0

# Peers that the log line at the end of the wait lists.
MAX_LISTED_PEERS = 8


# The position of an instance that knows nothing.
START = StatePosition(NO_ERA, 0)


class StoreReader:
    """Keeps the registry up to date while this instance is a reader."""

    def __init__(self, *, core: Core) -> None:
        self._core = core
        self._store = StoreClient(address=core.settings.platform_address)
        # Where changes can't be had; with a later state of a peer, they can.
        self._history_lost_at: StatePosition | None = None
        # Times in a row that the history was lost, without a watch in between.
        self._losses = 0
        self._failures = 0
        self._failed_at = core.now
        self._is_reachable: bool | None = None

    async def run(self) -> None:
        """Reads until cancelled."""
        try:
            await self._wait_for_peers()
            self._log_start()
            while True:
                await self._run_step()
        finally:
            self._store.close()

    async def _wait_for_peers(self) -> None:
        """Waits a limited time for published state from peers."""
        core = self._core
        wait_ms = PEER_WAIT_MS
        if core.settings.is_first_start:
            wait_ms += FIRST_START_JITTER_MS * core.random.random()
        started_at = core.now
        deadline = started_at + wait_ms
        while core.now < deadline and core.registry.confirmed_at is None:
            if core.registry.revision:
                # The next reports of peers confirm the state that was transferred.
                deadline = max(deadline, core.now + CONFIRMATION_WAIT_MS)
                break
            waited_ms = core.now - started_at
            if waited_ms >= PEER_WAIT_WITHOUT_STATE_MS and self._is_restart_of_all():
                return
            await asyncio.sleep(PEER_POLL_INTERVAL_MS / 1000.0)
        while core.now < deadline and core.registry.confirmed_at is None:
            await asyncio.sleep(PEER_POLL_INTERVAL_MS / 1000.0)

    def _log_start(self) -> None:
        """Logs what the instance knows when it stops waiting for its peers."""
        core = self._core
        core.log.write(
            "wait_for_peers_ended",
            era=core.registry.era,
            revision=core.registry.revision,
            peers={
                instance: [peer.member.era, peer.member.revision]
                for instance, peer in list(core.fleet.peers.items())[:MAX_LISTED_PEERS]
            },
            peer_count=len(core.fleet.peers),
        )

    def _is_restart_of_all(self) -> bool:
        """Whether all instances that were heard have just started, too."""
        core = self._core
        return (
            not core.settings.is_first_start
            and bool(core.fleet.peers)
            and not core.fleet.list_peers_ahead(START, core.now)
        )

    async def _run_step(self) -> None:
        core = self._core
        now = core.now
        age_ms = core.registry.get_age_ms(now)
        if not self._is_reader(now, age_ms):
            self._restore_reader_eligibility(now)
            await asyncio.sleep(READER_CHECK_INTERVAL_MS / 1000.0)
            return
        position = core.registry.position
        try:
            await self._read()
        except HistoryLostError as error:
            await self._handle_lost_history(error, position)
        except StoreError as error:
            await self._handle_failure(error)
        except Exception as error:
            error.add_note(
                f"read after revision {position.revision} for {core.now - now:.0f} ms, "
                f"state {age_ms:.0f} ms old, era {position.era}"
            )
            raise
        else:
            self._handle_success()

    def _is_reader(self, now: Millis, age_ms: float) -> bool:
        core = self._core
        return core.fleet.is_reader(
            now,
            state_age_ms=age_ms,
            reaches_store=core.reaches_store,
            era=core.registry.era,
        )

    async def _read(self) -> None:
        core = self._core
        # State that a peer transferred needs no full read; a watch continues from it.
        if core.registry.position in (self._history_lost_at, START):
            has_changed = await self._read_whole_state()
        else:
            has_changed = await self._watch_changes()
        if has_changed:
            core.apply_published_state()
            update_survey(core)
            await asyncio.sleep(CHANGE_BATCH_MS / 1000.0)

    async def _read_whole_state(self) -> bool:
        """Reads all items and returns whether there are any."""
        core = self._core
        position = core.registry.position
        known = era = position.era
        read_at = started_at = core.now
        changes: list[Change] = []
        async for page in self._store.read_pages(
            ALL_KEYS_PREFIX, timeout_ms=RESPONSE_TIMEOUT_MS
        ):
            self._record_response("range", started_at)
            changes += decode_items(page.items, on_error=self._log_unreadable)
            era = max(era, resolve_era(core, page.era, known=known))
            revision = page.revision
            started_at = core.now
        core.registry.apply_snapshot(changes, revision=revision, era=era, now=core.now)
        core.log.write(
            "store_read",
            era=era,
            revision=revision,
            items=len(changes),
            known_era=position.era,
            known_revision=position.revision,
        )
        self._history_lost_at = None
        self._confirm(read_at, StatePosition(era, revision), known=position)
        return bool(changes)

    async def _watch_changes(self) -> bool:
        """Waits for changes and returns whether there are any."""
        core = self._core
        started_at = core.now
        position = core.registry.position
        page = await self._store.watch(
            ALL_KEYS_PREFIX,
            after_revision=position.revision,
            wait_ms=WATCH_WAIT_MS,
            timeout_ms=RESPONSE_TIMEOUT_MS,
        )
        self._record_response("watch", started_at)
        check_watched_era(core, page.era, watched=position.era)
        self._losses = 0
        changes = decode_items(page.items, on_error=self._log_unreadable)
        core.registry.apply_changes(
            changes, revision=page.revision, era=position.era, now=core.now
        )
        # Without changes, the store responds only after the requested wait.
        waited_ms = 0.0 if page.items else WATCH_WAIT_MS
        confirmed_at = Millis(min(core.now, started_at + waited_ms))
        read = StatePosition(position.era, page.revision)
        self._confirm(confirmed_at, read, known=position)
        return bool(changes)

    def _confirm(
        self, at: Millis, read: StatePosition, *, known: StatePosition
    ) -> None:
        """Confirms the state, unless the response does not include what was known.

        A peer may have passed on state of a later era meanwhile. A store that was
        restored and states no era any more responds from before the known position.
        """
        if read.era == self._core.registry.era and read >= known:
            self._core.registry.confirm(at)

    async def _handle_lost_history(
        self, error: HistoryLostError, position: StatePosition
    ) -> None:
        """Prepares a full read; if the last one was of no use, with a delay."""
        core = self._core
        self._history_lost_at = position
        self._losses += 1
        core.log_warning("store_history_lost", detail=str(error))
        core.metrics.store_calls.labels("history_lost").inc()
        if self._losses > 1:
            backoff_ms = compute_backoff_ms(
                self._losses - 1, initial_ms=INITIAL_BACKOFF_MS, max_ms=MAX_BACKOFF_MS
            )
            await asyncio.sleep(backoff_ms * core.random.uniform(0.5, 1.0) / 1000.0)

    def _record_response(self, operation: str, started_at: Millis) -> None:
        core = self._core
        core.registry.record_store_response(core.now)
        elapsed_s = (core.now - started_at) / MILLISECONDS_PER_SECOND
        core.metrics.store_call_latency.labels(operation).observe(elapsed_s)

    async def _handle_failure(self, error: StoreError) -> None:
        core = self._core
        core.metrics.store_calls.labels("failed").inc()
        core.registry.record_store_outage(core.now)
        if self._is_reachable is not False:
            self._is_reachable = False
            core.log_warning("store_lost", detail=str(error))
        core.reaches_store = False
        self._failed_at = core.now
        self._failures += 1
        max_backoff_ms = max(
            MAX_BACKOFF_MS, MAX_BACKOFF_PER_INSTANCE_MS * core.fleet.estimated_size
        )
        backoff_ms = compute_backoff_ms(
            self._failures, initial_ms=INITIAL_BACKOFF_MS, max_ms=max_backoff_ms
        )
        await asyncio.sleep(backoff_ms * core.random.uniform(0.5, 1.0) / 1000.0)

    def _restore_reader_eligibility(self, now: Millis) -> None:
        """Makes the instance eligible as a reader again some time after a failure."""
        core = self._core
        if not core.reaches_store and now - self._failed_at > READER_RETRY_MS:
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
