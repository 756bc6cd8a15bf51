"""Simulation of the instances, network and platform of a configuration run.

Instances in four zones exchange messages over a lossy, partitioned network, read from
a platform that is fresh, stale or down, and lose their state when they restart.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.config import ConfigAgent
from skylarkcart.declarations import InstanceList
from skylarkcart.membership import Introduction, MemberHeartbeat
from skylarkcart.proof._config_fakes import (
    EventScheduler,
    FakePlatform,
    LossyNetwork,
    PlatformMode,
)
from skylarkcart.proof._config_monitor import (
    IN_FORCE_DEADLINE_MS,
    Observation,
    Publication,
    RevisionMonitor,
)
from skylarkcart.proof._config_process import EntryProcess
from skylarkcart.types import InstanceId, ZoneId

ZONES = (ZoneId("a"), ZoneId("b"), ZoneId("c"), ZoneId("d"))
INSTANCES_PER_ZONE = (3, 2, 2, 2)
TICK_INTERVAL_MS = 50.0
LIST_READ_INTERVAL_MS = 1_000.0
PUBLISH_INTERVAL_RANGE_MS = (500.0, 4_000.0)
REUSED_REVISION_PROBABILITY = 0.05
PHASE_DURATION_RANGE_MS = (3_000.0, 9_000.0)

PLATFORM_MODE_WEIGHTS = {
    PlatformMode.FRESH: 1,
    PlatformMode.STALE: 3,
    PlatformMode.DOWN: 1,
}

FaultInjection = Callable[[ConfigAgent], None]


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Ranges of the crash interval, the downtime and the response delay of peers.

    ``checks_in_force`` is false if responses can take longer than the adoption
    deadline; then only the advance of revisions is checked.
    """

    name: str
    crash_interval_range_ms: tuple[float, float]
    downtime_range_ms: tuple[float, float]
    response_delay_range_ms: tuple[float, float] = (0.0, 20.0)
    checks_in_force: bool = True


class Simulation:
    """The instances, network, platform and monitor of one run."""

    def __init__(
        self,
        *,
        seed: int,
        scenario: Scenario,
        inject_fault: FaultInjection | None = None,
    ) -> None:
        self._rng = random.Random(seed)
        self._scenario = scenario
        self._inject_fault = inject_fault
        self._scheduler = EventScheduler()
        self._network = LossyNetwork(
            scheduler=self._scheduler,
            rng=self._rng,
            response_delay_range_ms=scenario.response_delay_range_ms,
        )
        self._platform = FakePlatform(rng=self._rng, zones=ZONES)
        self.monitor = RevisionMonitor()
        self._processes: dict[InstanceId, EntryProcess] = {}
        self._connected_since = {
            (one, other): Millis(0) for one in ZONES for other in ZONES
        }
        self._fresh_platform_since: dict[ZoneId, Millis | None] = dict.fromkeys(ZONES)
        self.started_processes = 0

    def run(self, duration_ms: float) -> None:
        self._publish_configuration(Millis(0))
        for zone, count in zip(ZONES, INSTANCES_PER_ZONE, strict=True):
            for index in range(count):
                self._start(InstanceId(f"{zone}-{index}"), zone, Millis(0))
        self._begin_phase(Millis(0))
        self._call_after_random_delay(
            self._scenario.crash_interval_range_ms,
            Millis(0),
            self._crash_random_process,
        )
        self._scheduler.run_until(Millis(duration_ms))

    def _call_after_random_delay(
        self, delay_range_ms, now: Millis, callback: Callable[[Millis], None]
    ) -> None:
        self._scheduler.call_at(
            Millis(now + self._rng.uniform(*delay_range_ms)), callback
        )

    def _start(self, instance: InstanceId, zone: ZoneId, now: Millis) -> None:
        self.started_processes += 1
        process = EntryProcess(
            instance=instance,
            zone=zone,
            incarnation=str(self.started_processes),
            now=now,
        )
        if self._inject_fault:
            self._inject_fault(process.agent)
        self._processes[instance] = process
        self._update_connectivity(now)
        self._publish_list(now)
        first_tick = Millis(now + self._rng.uniform(0, TICK_INTERVAL_MS))
        self._scheduler.call_at(first_tick, partial(self._tick, process))

    def _crash_random_process(self, now: Millis) -> None:
        self._call_after_random_delay(
            self._scenario.crash_interval_range_ms, now, self._crash_random_process
        )
        if not self._processes:
            return
        instance = self._rng.choice(sorted(self._processes))
        process = self._processes.pop(instance)
        self._update_connectivity(now)
        self._publish_list(now)
        restart = partial(self._start, instance, process.zone)
        self._call_after_random_delay(self._scenario.downtime_range_ms, now, restart)

    def _publish_list(self, now: Millis) -> None:
        rows = tuple(process.build_list_row() for process in self._processes.values())
        version = int(now * 1000) + self.started_processes
        self._platform.publish_list(InstanceList(version=version, instances=rows), now)

    def _publish_configuration(self, now: Millis) -> None:
        reuses_revision = self._platform.revision > 1 and (
            self._rng.random() < REUSED_REVISION_PROBABILITY
        )
        configuration = self._platform.publish(reuses_revision=reuses_revision)
        self.monitor.record_publication(configuration)
        publication = Publication(revision=configuration.revision, published_at=now)
        self._scheduler.call_at(
            publication.due_at, partial(self._check_publication, publication)
        )
        self._call_after_random_delay(
            PUBLISH_INTERVAL_RANGE_MS, now, self._publish_configuration
        )

    def _check_publication(self, publication: Publication, now: Millis) -> None:
        if not self._scenario.checks_in_force:
            return
        for process in self._processes.values():
            fresh_platform_since = self._fresh_platform_since[process.zone]
            if (
                fresh_platform_since is None
                or fresh_platform_since > publication.published_at
            ):
                continue
            if process.ready_at is None or process.ready_at > publication.published_at:
                continue
            process.update(now)
            adopted_at = process.find_adoption_time(publication.revision)
            self.monitor.check_in_force(publication, process.instance, adopted_at)

    def _begin_phase(self, now: Millis) -> None:
        """Chooses the network partition and the platform modes of the next phase."""
        phase = self._rng.choice(("calm", "calm", "platform", "division", "both"))
        modes = [PlatformMode.FRESH] * len(ZONES)
        if phase in ("platform", "both"):
            modes = self._rng.choices(
                list(PLATFORM_MODE_WEIGHTS),
                list(PLATFORM_MODE_WEIGHTS.values()),
                k=len(ZONES),
            )
        cut_pairs: set[frozenset[ZoneId]] = set()
        if phase in ("division", "both"):
            side_by_zone = {zone: self._rng.random() < 0.5 for zone in ZONES}
            cut_pairs = {
                frozenset((one, other))
                for one in ZONES
                for other in ZONES
                if side_by_zone[one] != side_by_zone[other]
            }
        self._platform.modes = dict(zip(ZONES, modes, strict=True))
        self._network.set_partition(cut_pairs)
        self._update_connectivity(now)
        self._call_after_random_delay(PHASE_DURATION_RANGE_MS, now, self._begin_phase)

    def _update_connectivity(self, now: Millis) -> None:
        for pair in self._connected_since:
            if not self._network.is_connected(*pair):
                self._connected_since[pair] = Millis(now + PHASE_DURATION_RANGE_MS[1])
            elif self._connected_since[pair] > now:
                self._connected_since[pair] = now
        for zone in ZONES:
            if not self._can_reach_fresh_platform(zone):
                self._fresh_platform_since[zone] = None
            elif self._fresh_platform_since[zone] is None:
                self._fresh_platform_since[zone] = now

    def _can_reach_fresh_platform(self, zone: ZoneId) -> bool:
        """Tells whether ``zone`` reaches an instance that reads fresh values."""
        return any(
            self._network.is_connected(zone, process.zone)
            and self._platform.modes[process.zone] is PlatformMode.FRESH
            for process in self._processes.values()
        )

    def _tick(self, process: EntryProcess, now: Millis) -> None:
        if self._processes.get(process.instance) is not process:
            return
        self._scheduler.call_at(
            Millis(now + TICK_INTERVAL_MS), partial(self._tick, process)
        )
        self._read_platform(process, now)
        for exchange in process.members.tick(now):
            self._send_heartbeats(process, InstanceId(exchange.address), now)
        was_ready = process.is_ready
        process.update(now)
        if process.is_ready and not was_ready:
            self.monitor.ready_delays_ms.append(now - process.started_at)
        observation = Observation(
            instance=process.instance,
            incarnation=process.incarnation,
            revision=process.agent.revision,
            digest=process.agent.digest,
            is_ready=process.is_ready,
        )
        self.monitor.observe(observation, self._find_reachable_revision(process, now))

    def _read_platform(self, process: EntryProcess, now: Millis) -> None:
        if now - process.list_read_at >= LIST_READ_INTERVAL_MS:
            process.list_read_at = now
            instances = self._platform.read_instance_list(process.zone, now)
            if instances is not None:
                process.members.observe_list(instances, now)
        if process.is_read_due(now):
            process.configuration_read_at = now
            value = self._platform.read_configuration(process.zone)
            if value is not None:
                offer = partial(process.agent.offer_published, value)
                self._network.call_after_random_delay(now, offer)

    def _send_heartbeats(
        self, process: EntryProcess, to: InstanceId, now: Millis
    ) -> None:
        heartbeat = process.members.heartbeat(revision=process.agent.revision)
        for message in (heartbeat, process.agent.heartbeat()):
            self._send(process, to, message, now)

    def _send(
        self, process: EntryProcess, to: InstanceId, message, now: Millis
    ) -> None:
        path = (process.zone, ZoneId(to.partition("-")[0]))
        deliver = partial(self._deliver, process.instance, to)
        self._network.send(path, message, deliver, now)

    def _deliver(
        self, sender: InstanceId, to: InstanceId, message, now: Millis
    ) -> None:
        process = self._processes.get(to)
        if process is None:
            return
        if isinstance(message, MemberHeartbeat):
            reply = process.members.observe_heartbeat(message, now)
            if reply is not None:
                self._send(process, sender, reply, now)
        elif isinstance(message, Introduction):
            process.members.observe_introduction(sender, message, now)
        else:
            for outgoing_message in process.agent.handle(sender, message, now):
                self._send(process, outgoing_message.to, outgoing_message.message, now)

    def _find_reachable_revision(self, process: EntryProcess, now: Millis) -> int:
        """Returns the newest revision that ``process`` has had time to learn.

        Counts only revisions that ready instances adopted at least
        ``IN_FORCE_DEADLINE_MS`` ago and to which the network has been connected since.
        """
        since = now - IN_FORCE_DEADLINE_MS
        return max(
            (
                revision
                for other in self._processes.values()
                if other is not process
                and other.is_ready
                and self._connected_since[process.zone, other.zone] <= since
                for adopted_at, revision in other.adoptions
                if adopted_at <= since
            ),
            default=0,
        )
