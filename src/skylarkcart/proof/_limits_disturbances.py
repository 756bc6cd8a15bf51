"""Random disturbances of a fleet of limits agents."""

from __future__ import annotations

import functools

from skylarkcart.proof._limits_fleet import Fleet, SimulatedProcess
from skylarkcart.proof._limits_setup import (
    INSTANCES_PER_ZONE,
    LARGE_BURST_LIMITS,
    ZONES,
    DemandGenerator,
    build_configuration,
)
from skylarkcart.types import InstanceId, ZoneId, ZoneState


class DisturbanceGenerator:
    """Isolates zones, disturbs processes, and publishes changed configurations."""

    def __init__(self, *, fleet: Fleet, demand: DemandGenerator) -> None:
        self._fleet = fleet
        self._demand = demand
        self._revision = 1
        self._replacement_count = 0
        self._zone_states: dict[ZoneId, ZoneState] = {}
        self._actions = (
            self._isolate_zone,
            self._pause_process,
            self._pause_process,
            self._restart_process,
            self._restart_process,
            self._replace_process,
            self._change_zone_weights,
            self._scale_limits,
            self._toggle_zone,
            self._remove_zone,
        )

    def apply_random_disturbance(self) -> None:
        self._fleet.random.choice(self._actions)()

    def _choose_running_process(self) -> SimulatedProcess | None:
        running = [
            process
            for process in self._fleet.processes.values()
            if not process.is_paused and not process.is_leaving
        ]
        return self._fleet.random.choice(running) if running else None

    def _isolate_zone(self) -> None:
        zone = self._fleet.random.choice(ZONES)
        self._fleet.isolate_zone(zone)
        reconnect = functools.partial(self._fleet.reconnect_zone, zone)
        self._fleet.schedule.run_after(
            self._fleet.random.uniform(1_000, 6_000), reconnect
        )

    def _pause_process(self) -> None:
        process = self._choose_running_process()
        if process is not None:
            pause_ms = self._fleet.random.choice((300.0, 650.0, 900.0, 2_500.0))
            pause_ms *= self._fleet.random.uniform(0.8, 1.2)
            process.paused_until = self._fleet.schedule.now + pause_ms

    def _restart_process(self) -> None:
        process = self._choose_running_process()
        if process is None:
            return
        self._fleet.stop(process, removes_from_list=False)
        start = functools.partial(self._start_process, process.instance, process.zone)
        self._fleet.schedule.run_after(self._fleet.random.uniform(500, 3_000), start)

    def _replace_process(self) -> None:
        process = self._choose_running_process()
        if process is None or process.zone in self._fleet.network.isolated_zones:
            return
        self._replacement_count += 1
        instance = InstanceId(
            f"{process.zone}-{self._replacement_count + INSTANCES_PER_ZONE}"
        )
        self._start_process(instance, process.zone)
        self._demand.target_instances.remove(process.instance)
        process.begin_leave()
        stop = functools.partial(self._fleet.stop, process, removes_from_list=True)
        self._fleet.schedule.run_after(self._fleet.random.uniform(500, 3_000), stop)

    def _start_process(self, instance: InstanceId, zone: ZoneId) -> None:
        if (
            self._zone_states.get(zone) is ZoneState.REMOVED
            or instance in self._fleet.processes
        ):
            return
        self._fleet.start(instance, zone)
        if instance not in self._demand.target_instances:
            self._demand.target_instances.append(instance)

    def _toggle_zone(self) -> None:
        """Closes an open zone or opens a closed one."""
        zone = self._fleet.random.choice(ZONES)
        state = self._zone_states.get(zone, ZoneState.OPEN)
        if state is ZoneState.REMOVED:
            return
        is_open = state is ZoneState.OPEN
        self._zone_states[zone] = ZoneState.CLOSED if is_open else ZoneState.OPEN
        self._publish_configuration(zone_weights=None, limit_factor=1.0)

    def _remove_zone(self) -> None:
        """Stops a zone's instances, declares it removed, and restores it later."""
        zone = self._fleet.random.choice(ZONES)
        if ZoneState.REMOVED in self._zone_states.values():
            return
        self._zone_states[zone] = ZoneState.REMOVED
        for process in list(self._fleet.processes.values()):
            if process.zone == zone:
                self._fleet.stop(process, removes_from_list=True)
                if process.instance in self._demand.target_instances:
                    self._demand.target_instances.remove(process.instance)
        self._publish_configuration(zone_weights=None, limit_factor=1.0)
        restore = functools.partial(self._restore_zone, zone)
        self._fleet.schedule.run_after(
            self._fleet.random.uniform(4_000, 8_000), restore
        )

    def _restore_zone(self, zone: ZoneId) -> None:
        self._zone_states[zone] = ZoneState.OPEN
        self._publish_configuration(zone_weights=None, limit_factor=1.0)
        for number in range(INSTANCES_PER_ZONE):
            self._start_process(InstanceId(f"{zone}-{number}"), zone)

    def _change_zone_weights(self) -> None:
        zone_weights = {
            zone: self._fleet.random.choice((0.2, 1.0, 1.0, 5.0)) for zone in ZONES
        }
        self._publish_configuration(zone_weights=zone_weights, limit_factor=1.0)

    def _scale_limits(self) -> None:
        self._publish_configuration(
            zone_weights=None, limit_factor=self._fleet.random.choice((0.5, 1.0, 2.0))
        )

    def _publish_configuration(
        self, *, zone_weights: dict[ZoneId, float] | None, limit_factor: float
    ) -> None:
        self._revision += 1
        self._fleet.publish(
            build_configuration(
                self._revision,
                limits=LARGE_BURST_LIMITS,
                zone_weights=zone_weights,
                zone_states=dict(self._zone_states),
                limit_factor=limit_factor,
            )
        )
