"""Simulated platform updates and injected disturbances of a search run."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from skylarkcart.clock import Millis
from skylarkcart.declarations import (
    IndexSnapshot,
    InstanceList,
    ListedProcess,
    ZoneRow,
)
from skylarkcart.proof._search_fakes import SERVICE, FakeUpstream, build_snapshot
from skylarkcart.proof._search_instance import FakeInstance
from skylarkcart.types import InstanceId, ListState, Role, UpstreamId, ZoneId, ZoneState

if TYPE_CHECKING:
    from skylarkcart.proof._search_simulation import SearchSimulation

DISCONNECT_DELAY_MS = 0.2
RESTART_DURATION_MS = 300.0

# Time between one instance losing the right to send to cold upstreams and another
# gaining it. Calls sent under the old right end within it.
RIGHT_TRANSFER_MS = 400.0
MAX_LIST_LAG_MS = 400.0
MAX_ZONE_STATE_LAG_MS = 500.0
DRAIN_DURATION_MS = 2_000.0
SLOWDOWN_FACTOR = 4.0


class Disturbances:
    """Publishes platform state with a delay and injects disturbances at random times.

    It restarts and drains upstreams, makes them cold or slow, publishes snapshots,
    transfers rights, replaces instances, and closes and reopens a zone.
    """

    def __init__(self, *, simulation: SearchSimulation, random: random.Random) -> None:
        self._simulation = simulation
        self._random = random
        self._versions = itertools.count(1)
        self._sequences = itertools.count(1)
        self.closed_zone: ZoneId | None = None
        self.right_holders: dict[ZoneId, tuple[InstanceId, float]] = {
            zone: (InstanceId(f"i-{zone}0"), 0.0) for zone in simulation.settings.zones
        }

    def start(self) -> None:
        """Schedules the disturbances that the settings enable."""
        settings = self._simulation.settings
        self.schedule_repeatedly(settings.restart_interval_ms, self._restart_upstream)
        self.schedule_repeatedly(settings.cold_interval_ms, self._make_upstream_cold)
        self.schedule_repeatedly(settings.drain_interval_ms, self._drain_upstream)
        self.schedule_repeatedly(settings.snapshot_interval_ms, self._publish_snapshot)
        self.schedule_repeatedly(settings.right_interval_ms, self._transfer_right)
        self.schedule_repeatedly(settings.instance_interval_ms, self._replace_instance)
        if settings.slowdown_at:
            self._simulation.schedule(settings.slowdown_at, self._slow_down_upstreams)
        if settings.zone_closed_at:
            self._simulation.schedule(settings.zone_closed_at, self._close_zone)
            self._simulation.schedule(settings.zone_opened_at, self._open_zone)

    def holds_right(self, instance: InstanceId, upstream: UpstreamId) -> bool:
        """Returns whether an instance may send to the upstream while it is cold.

        One instance of each zone holds this right, from the end of its transfer on.
        """
        holder, since = self.right_holders[self._simulation.upstreams[upstream].zone]
        return holder == instance and self._simulation.now >= since

    def schedule_repeatedly(
        self, interval_ms: float, function: Callable[[], None]
    ) -> None:
        """Runs a function at random times with a mean interval in ms; 0 disables it."""
        if not interval_ms:
            return

        def run() -> None:
            if self._simulation.now < self._simulation.settings.duration_ms:
                function()
                self._simulation.schedule(
                    self._random.expovariate(1 / interval_ms), run
                )

        self._simulation.schedule(self._random.expovariate(1 / interval_ms), run)

    def build_instance_list(self) -> InstanceList:
        entries = tuple(
            ListedProcess(
                id=upstream.id,
                role=Role.UPSTREAM,
                zone=upstream.zone,
                address=upstream.id,
                state=ListState.LEAVING if upstream.is_leaving else ListState.LIVE,
                incarnation=str(upstream.incarnation),
                service=SERVICE,
            )
            for upstream in self._simulation.upstreams.values()
        )
        return InstanceList(version=next(self._versions), instances=entries)

    def build_zone_rows(self) -> tuple[ZoneRow, ...]:
        return tuple(
            ZoneRow(
                zone=zone,
                state=ZoneState.CLOSED if zone == self.closed_zone else ZoneState.OPEN,
            )
            for zone in self._simulation.settings.zones
        )

    def _restart_upstream(self) -> None:
        upstream = self._random.choice(list(self._simulation.upstreams.values()))
        self._stop_process(upstream)

    def _stop_process(self, upstream: FakeUpstream) -> None:
        if not upstream.is_up:
            return
        upstream.is_up = False
        upstream.restart()
        for instance in self._simulation.instances.values():
            self._simulation.schedule(
                DISCONNECT_DELAY_MS, self._disconnect, instance, upstream
            )
        self._simulation.schedule(RESTART_DURATION_MS, self._start_process, upstream)

    def _disconnect(self, instance: FakeInstance, upstream: FakeUpstream) -> None:
        if not instance.is_alive:
            return
        interrupted = [
            call
            for call in instance.in_flight
            if call.start.upstream == upstream.id and call.process != upstream.process
        ]
        interrupted.sort(key=lambda call: (call.started_at, call.start.request_id))
        instance.note_disconnected(upstream.id, interrupted)

    def _start_process(self, upstream: FakeUpstream) -> None:
        upstream.is_up = True
        self._publish_instance_list()

    def _publish_instance_list(self) -> None:
        instance_list = self.build_instance_list()
        for instance in self._simulation.instances.values():
            lag_ms = self._random.uniform(0, MAX_LIST_LAG_MS)
            self._simulation.schedule(
                lag_ms, self._apply_instance_list, instance, instance_list
            )

    def _apply_instance_list(
        self, instance: FakeInstance, instance_list: InstanceList
    ) -> None:
        instance.directory.observe_list(instance_list, Millis(self._simulation.now))

    def _make_upstream_cold(self) -> None:
        upstream = self._random.choice(list(self._simulation.upstreams.values()))
        if not upstream.is_cold:
            self._simulation.ledger.record_cold_without_restart(upstream)
            upstream.turn_cold(refuses=True)

    def _slow_down_upstreams(self) -> None:
        """Slows down all upstreams at once, as a more expensive kind of query would."""
        for upstream in self._simulation.upstreams.values():
            upstream.latency_factor *= SLOWDOWN_FACTOR

    def _drain_upstream(self) -> None:
        upstream = self._random.choice(list(self._simulation.upstreams.values()))
        if upstream.draining_since is None and upstream.is_up:
            upstream.draining_since = self._simulation.now
            upstream.is_leaving = True
            self._publish_instance_list()
            self._simulation.schedule(DRAIN_DURATION_MS, self._stop_process, upstream)

    def build_snapshot(self) -> IndexSnapshot:
        snapshot = build_snapshot(
            next(self._sequences),
            zones=self._simulation.settings.zones,
            upstreams_per_zone=self._simulation.settings.upstreams_per_zone,
            random=self._random,
        )
        self._simulation.ledger.snapshots[snapshot.snapshot] = snapshot
        return snapshot

    def _publish_snapshot(self) -> None:
        snapshot = self.build_snapshot()
        for upstream in self._simulation.upstreams.values():
            upstream.add_snapshot(snapshot)
            lag_ms = self._random.uniform(100.0, 600.0)
            self._simulation.schedule(
                lag_ms, self._drop_older_snapshots, upstream, snapshot.snapshot
            )
        self.deliver_snapshot(snapshot, MAX_LIST_LAG_MS)

    def _drop_older_snapshots(self, upstream: FakeUpstream, newest: str) -> None:
        names = list(upstream.shards_by_snapshot)
        for name in names[: names.index(newest)] if newest in names else ():
            del upstream.shards_by_snapshot[name]

    def deliver_snapshot(self, snapshot: IndexSnapshot, max_lag_ms: float) -> None:
        for instance in self._simulation.instances.values():
            lag_ms = self._random.uniform(0, max_lag_ms)
            if max_lag_ms:
                self._simulation.schedule(
                    lag_ms, self._apply_snapshot, instance, snapshot
                )
            else:
                instance.snapshot = snapshot

    def _apply_snapshot(self, instance: FakeInstance, snapshot: IndexSnapshot) -> None:
        if snapshot.sequence > instance.snapshot.sequence:
            instance.snapshot = snapshot

    def _transfer_right(self) -> None:
        zone = self._random.choice(self._simulation.settings.zones)
        names = [
            name
            for name, instance in self._simulation.instances.items()
            if instance.zone == zone
        ]
        new_holder = self._random.choice(names)
        if new_holder != self.right_holders[zone][0]:
            self.right_holders[zone] = (
                new_holder,
                self._simulation.now + RIGHT_TRANSFER_MS,
            )

    def _replace_instance(self) -> None:
        """Kills an instance and starts its successor.

        The calls of the killed instance are cancelled, and its searches end without an
        answer because their callers lose the connection.
        """
        name = self._random.choice(list(self._simulation.instances))
        killed = self._simulation.instances[name]
        killed.is_alive = False
        calls = sorted(killed.in_flight, key=lambda call: call.start.request_id)
        for call in calls:
            call.is_ended = True
            self._simulation.upstreams[call.start.upstream].cancel(call)
        for request_id in killed.list_running_searches():
            self._simulation.running_searches.discard(request_id)
        if self.right_holders[killed.zone][0] == name:
            self.right_holders[killed.zone] = (
                name,
                self._simulation.now + RIGHT_TRANSFER_MS,
            )
        instance = self._simulation.start_instance(name, killed.zone)
        instance.snapshot = killed.snapshot

    def _close_zone(self) -> None:
        self.closed_zone = self._simulation.settings.zones[-1]
        self._simulation.ledger.record_zone_closed(
            self.closed_zone, self._simulation.now
        )
        self._publish_zone_states()

    def _open_zone(self) -> None:
        """Reopens the zone, whose upstreams lost their caches while it was closed."""
        zone, self.closed_zone = self.closed_zone, None
        self._simulation.ledger.record_zone_opened(zone)
        for upstream in self._simulation.upstreams.values():
            if upstream.zone == zone:
                upstream.turn_cold(refuses=False)
        self._publish_zone_states()

    def _publish_zone_states(self) -> None:
        rows = self.build_zone_rows()
        for instance in self._simulation.instances.values():
            lag_ms = self._random.uniform(0, MAX_ZONE_STATE_LAG_MS)
            self._simulation.schedule(lag_ms, self._apply_zone_states, instance, rows)

    def _apply_zone_states(
        self, instance: FakeInstance, rows: tuple[ZoneRow, ...]
    ) -> None:
        instance.directory.observe_zones(rows, Millis(self._simulation.now))
