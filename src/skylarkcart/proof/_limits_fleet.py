"""A simulated fleet of limits agents with separate clocks and a fake network."""

from __future__ import annotations

import functools
import random
from collections.abc import Callable, Iterable

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.declarations import Configuration
from skylarkcart.limits import (
    LimitsAgent,
    LimitsMessage,
    MemberView,
    OutgoingMessage,
    StaticAllocations,
)
from skylarkcart.proof._fake_network import FakeNetwork, NetworkFaults, Schedule
from skylarkcart.proof._ledger import Ledger, Limit
from skylarkcart.proof._limits_checks import (
    ZoneLedgers,
    check_allocations,
    check_right_holders,
    check_spendable_tokens,
)
from skylarkcart.types import AccountId, InstanceId, ZoneId

TICK_INTERVAL_MS = 50.0
OBSERVE_INTERVAL_MS = 250.0
MAX_GRANT_WAIT_MS = 20.0
GRANT_POLL_INTERVAL_MS = 2.0
MAX_LIST_LAG_MS = 1_500.0
ADOPTION_PROBABILITY = 0.3
MAX_CLOCK_DRIFT = 0.0004
SUPERSEDED_GRACE_MS = 2_000.0


class MembershipHeartbeat(msgspec.Struct, frozen=True, kw_only=True):
    """The state of an instance, as the membership slice would report it."""

    view: MemberView


class SimulatedProcess:
    """A process of an instance, which has its own clock and may pause."""

    def __init__(
        self, *, instance: InstanceId, incarnation: str, zone: ZoneId, fleet: Fleet
    ) -> None:
        self.instance = instance
        self.zone = zone
        self.fleet = fleet
        self.paused_until = 0.0
        self.is_stopped = False
        self.is_leaving = False
        self.configuration: Configuration | None = None
        self.started_at = fleet.schedule.now
        self._clock_offset_ms = fleet.random.uniform(0, 1e6)
        self._clock_rate = 1 + fleet.random.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        self._list_lag_ms = fleet.random.uniform(0, MAX_LIST_LAG_MS)
        self._heartbeat_views: dict[InstanceId, MemberView] = {}
        self.agent = LimitsAgent(
            instance=instance,
            incarnation=incarnation,
            zone=zone,
            random=random.Random(fleet.random.random()),
            now=self.now,
        )
        self.static_allocations = StaticAllocations(now=self.now)
        fleet.zone_ledgers.track(self)

    @property
    def now(self) -> Millis:
        return Millis(
            self._clock_offset_ms + self.fleet.schedule.now * self._clock_rate
        )

    @property
    def is_paused(self) -> bool:
        return self.fleet.schedule.now < self.paused_until

    @property
    def revision(self) -> int:
        return self.configuration.revision if self.configuration else 0

    def run_or_defer(self, action: Callable[[], None]) -> None:
        """Runs an action now or, if paused, at the end of the pause.

        Actions deferred by the same pause run in random order.
        """
        if self.is_stopped:
            return
        if self.is_paused:
            jitter_ms = self.fleet.random.uniform(0, 1)
            self.fleet.schedule.run_at(
                self.paused_until + jitter_ms,
                functools.partial(self.run_or_defer, action),
            )
            return
        action()

    def start(self) -> None:
        self.adopt(self.fleet.find_newest_configuration(self.zone))
        self._observe()
        self._tick()

    def adopt(self, configuration: Configuration | None) -> None:
        if configuration is None or configuration.revision <= self.revision:
            return
        self.configuration = configuration
        self.agent.configure(configuration, self.now)
        self.static_allocations.configure(
            accounts=configuration.accounts,
            max_instances=configuration.max_instances,
            now=self.now,
        )
        self.fleet.update_limits()

    def _tick(self) -> None:
        self.send(self.agent.tick(self.now))
        self.fleet.check(self.zone)
        self.fleet.schedule.run_after(
            TICK_INTERVAL_MS, functools.partial(self.run_or_defer, self._tick)
        )

    def _observe(self) -> None:
        fleet = self.fleet
        if fleet.random.random() < ADOPTION_PROBABILITY:
            self.adopt(fleet.find_newest_configuration(self.zone))
        if fleet.random.random() < 0.1:
            self._list_lag_ms = fleet.random.uniform(0, MAX_LIST_LAG_MS)
        listed = fleet.read_list(self.zone, self._list_lag_ms)
        if self.instance in listed:
            self.agent.observe_listed(self.now)
        views = {
            instance: MemberView(instance=instance, zone=zone)
            for instance, zone in listed.items()
        }
        for instance, view in self._heartbeat_views.items():
            if instance in views or view.zone == self.zone:
                views[instance] = view
        self.agent.observe_members(views.values(), self.now)
        self._send_heartbeats(views.values())
        fleet.schedule.run_after(
            OBSERVE_INTERVAL_MS,
            functools.partial(self.run_or_defer, self._observe),
        )

    def _send_heartbeats(self, views: Iterable[MemberView]) -> None:
        own = MemberView(
            instance=self.instance,
            zone=self.zone,
            revision=self.revision,
            leaving=self.is_leaving,
        )
        for view in views:
            if view.instance != self.instance:
                self.fleet.deliver(self, view.instance, MembershipHeartbeat(view=own))

    def send(self, outgoing_messages: Iterable[OutgoingMessage]) -> None:
        for outgoing_message in outgoing_messages:
            self.fleet.deliver(self, outgoing_message.to, outgoing_message.message)

    def receive(
        self, sender: InstanceId, message: LimitsMessage | MembershipHeartbeat
    ) -> None:
        if isinstance(message, MembershipHeartbeat):
            self._heartbeat_views[sender] = message.view
            if message.view.zone == self.zone:
                self.agent.observe_introduced(self.now)
            return
        self.send(self.agent.handle(sender, message, self.now))

    def request(self, account: AccountId) -> None:
        """Handles a request: spends a token, waits for a grant, or refuses."""
        self.fleet.record_request(self, account)
        self._request_static_allocations(account)
        if self.agent.try_take_token(account, self.now):
            self.fleet.record_spent_token(self, account)
            self._send_outgoing()
            return
        self._send_outgoing()
        self._wait_for_grant(account, self.fleet.schedule.now + MAX_GRANT_WAIT_MS)

    def _request_static_allocations(self, account: AccountId) -> None:
        now = self.fleet.schedule.now
        if self.static_allocations.try_spend(account=account, now=self.now):
            self.fleet.static_ledger.record_spent_token(account, now)
        else:
            self.fleet.static_ledger.record_refusal(account, now)

    def _wait_for_grant(self, account: AccountId, deadline: float) -> None:
        schedule = self.fleet.schedule
        if schedule.now >= deadline or not self.agent.expects_grant(account, self.now):
            self.fleet.record_refusal(self, account)
            return
        retry = functools.partial(self._retry_request, account, deadline)
        schedule.run_after(
            GRANT_POLL_INTERVAL_MS, functools.partial(self.run_or_defer, retry)
        )

    def _retry_request(self, account: AccountId, deadline: float) -> None:
        if self.agent.try_take_token(account, self.now, retried=True):
            self.fleet.record_spent_token(self, account)
            self._send_outgoing()
            return
        self._send_outgoing()
        self._wait_for_grant(account, deadline)

    def _send_outgoing(self) -> None:
        if self.agent.has_outgoing:
            self.send(self.agent.take_outgoing(self.now))

    def begin_leave(self) -> None:
        self.is_leaving = True
        self.send(self.agent.begin_leave(self.now))


class Fleet:
    """All processes, the platform's instance lists and configurations, and ledgers.

    ``static_ledger`` counts the same requests against equal static allocations.
    """

    def __init__(
        self, *, random: random.Random, faults: NetworkFaults, zones: tuple[ZoneId, ...]
    ) -> None:
        self.random = random
        self.schedule = Schedule()
        self.network = FakeNetwork(schedule=self.schedule, random=random, faults=faults)
        self.zones = zones
        self.processes: dict[InstanceId, SimulatedProcess] = {}
        self.ledger = Ledger()
        self.static_ledger = Ledger()
        self.zone_ledgers = ZoneLedgers()
        self.partition_ledgers: dict[ZoneId, Ledger] = {}
        self._published_configurations: list[Configuration] = []
        self._superseded_at: dict[int, float] = {}
        self._published_lists: list[tuple[float, dict[InstanceId, ZoneId]]] = [
            (0.0, {})
        ]
        self._isolated_since: dict[ZoneId, float] = {}
        self._started_processes = 0

    # Processes.

    def start(self, instance: InstanceId, zone: ZoneId) -> SimulatedProcess:
        self._started_processes += 1
        process = SimulatedProcess(
            instance=instance,
            incarnation=str(self._started_processes),
            zone=zone,
            fleet=self,
        )
        self.processes[instance] = process
        self._publish_list({**self._published_lists[-1][1], instance: zone})
        process.start()
        return process

    def stop(self, process: SimulatedProcess, *, removes_from_list: bool) -> None:
        process.is_stopped = True
        if self.processes.get(process.instance) is process:
            del self.processes[process.instance]
        if removes_from_list:
            listed = dict(self._published_lists[-1][1])
            listed.pop(process.instance, None)
            self._publish_list(listed)

    def _publish_list(self, listed: dict[InstanceId, ZoneId]) -> None:
        self._published_lists.append((self.schedule.now, listed))

    def read_list(self, zone: ZoneId, lag_ms: float) -> dict[InstanceId, ZoneId]:
        """Returns the list of ``lag_ms`` ago, or of an isolated zone's last contact."""
        seen_at = self.schedule.now - lag_ms
        if zone in self._isolated_since:
            seen_at = min(seen_at, self._isolated_since[zone])
        for since, listed in reversed(self._published_lists):
            if since <= seen_at:
                return listed
        return {}

    def deliver(
        self,
        sender: SimulatedProcess,
        to: InstanceId,
        message: LimitsMessage | MembershipHeartbeat,
    ) -> None:
        target = self.processes.get(to)
        if target is None:
            return

        def receive() -> None:
            process = self.processes.get(to)
            if process is not None:
                process.run_or_defer(
                    functools.partial(process.receive, sender.instance, message)
                )

        self.network.send(sender.zone, target.zone, receive)

    def isolate_zone(self, zone: ZoneId) -> None:
        self.network.isolated_zones.add(zone)
        self._isolated_since[zone] = self.schedule.now

    def reconnect_zone(self, zone: ZoneId) -> None:
        self.network.isolated_zones.discard(zone)
        self._isolated_since.pop(zone, None)

    # Configurations.

    def publish(self, configuration: Configuration) -> None:
        self._published_configurations.append(configuration)
        self.update_limits()

    @property
    def newest_configuration(self) -> Configuration:
        return self._published_configurations[-1]

    def find_newest_configuration(self, zone: ZoneId) -> Configuration | None:
        """Returns the newest configuration that the zone can read.

        An isolated zone has only the configurations of its own processes.
        """
        if zone not in self._isolated_since:
            return (
                self._published_configurations[-1]
                if self._published_configurations
                else None
            )
        held = [
            process.configuration
            for process in self.processes.values()
            if process.zone == zone and process.configuration
        ]
        return max(held, key=lambda configuration: configuration.revision, default=None)

    def update_limits(self) -> None:
        """Sets each limit to its largest value in the configurations in force.

        A configuration stays in force for ``SUPERSEDED_GRACE_MS`` after all processes
        have adopted a newer one.
        """
        now = self.schedule.now
        oldest = min(
            (
                process.revision
                for process in self.processes.values()
                if process.revision
            ),
            default=0,
        )
        for configuration in self._published_configurations:
            revision = configuration.revision
            if revision >= oldest:
                self._superseded_at.pop(revision, None)
            elif revision not in self._superseded_at:
                self._superseded_at[revision] = now
                self.schedule.run_after(SUPERSEDED_GRACE_MS, self.update_limits)
        limits = self._compute_limits(now)
        self.ledger.set_limits(limits, now)
        self.static_ledger.set_limits(limits, now)
        self.zone_ledgers.set_limits(self._list_in_force(now), now)

    def _list_in_force(self, now: float) -> list[Configuration]:
        return [
            configuration
            for configuration in self._published_configurations
            if now - self._superseded_at.get(configuration.revision, now)
            < SUPERSEDED_GRACE_MS
        ]

    def _compute_limits(self, now: float) -> dict[AccountId, Limit]:
        limits: dict[AccountId, Limit] = {}
        for configuration in self._list_in_force(now):
            for row in configuration.accounts:
                held = limits.get(row.account, Limit(burst=0, rate_per_ms=0))
                limits[row.account] = Limit(
                    burst=max(held.burst, row.burst),
                    rate_per_ms=max(held.rate_per_ms, row.rate_per_s / 1_000),
                )
        return limits

    # Checks and counts.

    def check(self, zone: ZoneId) -> None:
        """Checks the invariants behind the rate limit in one zone."""
        processes = list(self.processes.values())
        check_right_holders(zone, processes)
        in_force = self._list_in_force(self.schedule.now)
        check_spendable_tokens(zone, processes, in_force)
        check_allocations(processes, in_force)

    def record_request(self, process: SimulatedProcess, account: AccountId) -> None:
        self.ledger.record_request(account, self.schedule.now)
        self.static_ledger.record_request(account, self.schedule.now)
        if process.zone in self.partition_ledgers:
            self.partition_ledgers[process.zone].record_request(
                account, self.schedule.now
            )

    def record_spent_token(self, process: SimulatedProcess, account: AccountId) -> None:
        self.ledger.record_spent_token(account, self.schedule.now)
        if process.zone in self.partition_ledgers:
            self.partition_ledgers[process.zone].accounts[account].record_spent_token(
                self.schedule.now
            )

    def record_refusal(self, process: SimulatedProcess, account: AccountId) -> None:
        self.ledger.record_refusal(account, self.schedule.now)
        if process.zone in self.partition_ledgers:
            self.partition_ledgers[process.zone].record_refusal(
                account, self.schedule.now
            )
