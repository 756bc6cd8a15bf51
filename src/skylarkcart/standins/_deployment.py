"""Complete deployments on loopback: platform, upstreams and entry instances."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import msgspec

from skylarkcart.declarations import (
    AccountRow,
    Configuration,
    IndexSnapshot,
    KeyRow,
    ListedProcess,
    ServiceRow,
    ShardPlacement,
    ZoneRow,
)
from skylarkcart.entry import EntryInstance, Settings
from skylarkcart.keys import hash_secret
from skylarkcart.platform import CONFIGURATION_KEY, build_index_key
from skylarkcart.standins._platform import StandinPlatform
from skylarkcart.standins._upstream import StandinUpstream, UpstreamProfile
from skylarkcart.standins._upstream_server import UpstreamServer
from skylarkcart.types import (
    AccountId,
    InstanceId,
    KeyId,
    LateShardPreference,
    ListState,
    Role,
    ServiceId,
    ShardId,
    SnapshotId,
    UpstreamId,
    ZoneId,
)

REPLICAS_PER_SHARD = 2
COVERAGE_TIMEOUT_S = 60.0
COVERAGE_POLL_INTERVAL_S = 0.1
FLEET_SECRET = "loopback-only-fleet-secret-of-the-standins"
ACCOUNT_COUNT = 8
LARGE_ACCOUNT_COUNT = 2


class ServiceSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The size of one service and of its upstreams."""

    service: ServiceId
    upstreams: int
    slots: int
    connections: int
    connect_cost_ms: float
    prefer: LateShardPreference


class DeploymentSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The size of a deployment."""

    name: str
    zones: tuple[ZoneId, ...]
    entries: int
    max_instances: int
    services: tuple[ServiceSpec, ...]


def build_association() -> DeploymentSpec:
    """Returns the museums' deployment, with two search and two filing services."""
    return DeploymentSpec(
        name="association",
        zones=_build_zones("valle-central"),
        entries=9,
        max_instances=12,
        services=(
            _build_service_spec(
                "night-search", 30, 3, 30, 6.0, LateShardPreference.TIMELY
            ),
            _build_service_spec(
                "newsletter", 45, 3, 30, 6.0, LateShardPreference.TIMELY
            ),
            _build_service_spec(
                "host-rosters", 13, 2, 110, 1.0, LateShardPreference.COMPLETE
            ),
            _build_service_spec(
                "dues-billing", 7, 2, 110, 1.0, LateShardPreference.COMPLETE
            ),
        ),
    )


def build_empresa() -> DeploymentSpec:
    """Returns the deployment for tree protection orders."""
    return DeploymentSpec(
        name="empresa",
        zones=_build_zones("caldas-centro"),
        entries=8,
        max_instances=12,
        services=(
            _build_service_spec(
                "inspection", 30, 2, 25, 6.0, LateShardPreference.COMPLETE
            ),
            _build_service_spec(
                "notarial", 45, 2, 25, 6.0, LateShardPreference.COMPLETE
            ),
            _build_service_spec(
                "licences", 4, 4, 45, 1.0, LateShardPreference.COMPLETE
            ),
            _build_service_spec(
                "sanctions", 4, 4, 45, 1.0, LateShardPreference.COMPLETE
            ),
        ),
    )


def _build_zones(prefix: str) -> tuple[ZoneId, ...]:
    return tuple(ZoneId(f"{prefix}-{letter}") for letter in "abcd")


def _build_service_spec(
    service: str,
    upstreams: int,
    slots: int,
    connections: int,
    connect_cost_ms: float,
    prefer: LateShardPreference,
) -> ServiceSpec:
    return ServiceSpec(
        service=ServiceId(service),
        upstreams=upstreams,
        slots=slots,
        connections=connections,
        connect_cost_ms=connect_cost_ms,
        prefer=prefer,
    )


class StandinDeployment:
    """A deployment in one process on one event loop.

    Example::

        deployment = StandinDeployment(spec=build_association(), seed=1)
        await deployment.start()
        ...
        await deployment.stop()
    """

    def __init__(
        self,
        *,
        spec: DeploymentSpec,
        seed: int,
        profile: UpstreamProfile | None = None,
        linger_ms: float = 200.0,
        adjust_configuration: Callable[[Configuration], Configuration] | None = None,
    ) -> None:
        """``adjust_configuration`` is applied to the configuration published first."""
        self.spec = spec
        self.random = random.Random(seed)
        self._seed = seed
        self._linger_ms = linger_ms
        self._profile = profile or UpstreamProfile()
        self.platform = StandinPlatform(zones=spec.zones)
        self.upstream_server = UpstreamServer(upstreams=self._build_upstreams())
        self.keys: dict[AccountId, str] = {}
        self.configuration = self._build_configuration()
        if adjust_configuration is not None:
            self.configuration = adjust_configuration(self.configuration)
        self.snapshots: dict[ServiceId, IndexSnapshot] = {}
        self.entries: list[EntryInstance] = []

    async def start(self) -> None:
        """Starts all processes and returns when every entry instance is ready."""
        await self.platform.start()
        await self.upstream_server.start()
        for service in self.spec.services:
            await self.publish_snapshot(service.service, sequence=1)
        await self.publish_configuration(self.configuration)
        self.publish_list()
        for number in range(self.spec.entries):
            await self.start_entry(number)
        for entry in self.entries:
            await entry.wait_ready()

    async def stop(self) -> None:
        for entry in self.entries:
            await entry.drain_and_stop()
        await self.upstream_server.stop()
        await self.platform.stop()

    async def wait_for_coverage(self) -> None:
        """Waits until every instance can reach all shards, or until a timeout.

        When all instances start cold at once on one event loop, they may become ready
        before that.
        """
        deadline = time.monotonic() + COVERAGE_TIMEOUT_S
        while not self._can_cover_all_shards() and time.monotonic() < deadline:
            await asyncio.sleep(COVERAGE_POLL_INTERVAL_S)

    def _can_cover_all_shards(self) -> bool:
        return all(
            entry.state.upstream_directory.can_cover(snapshot)
            for entry in self.entries
            for snapshot in self.snapshots.values()
        )

    async def start_entry(self, number: int) -> EntryInstance:
        """Starts another entry instance and adds it to the instance list."""
        settings = self.build_settings(number)
        entry = EntryInstance(settings=settings, seed=self._seed + number)
        await entry.start()
        self.entries.append(entry)
        self.publish_list()
        return entry

    async def replace_entry(self, entry: EntryInstance, number: int) -> EntryInstance:
        """Starts a new entry instance and, once it is ready, drains the old one."""
        new_entry = await self.start_entry(number)
        await new_entry.wait_ready()
        entry.state.lifecycle.begin_drain(entry.state.now)
        self.publish_list()
        await entry.drain_and_stop()
        self.entries.remove(entry)
        self.publish_list()
        return new_entry

    def build_settings(self, number: int) -> Settings:
        """Returns the settings of an entry instance; zones are assigned in turn."""
        zone = self.spec.zones[number % len(self.spec.zones)]
        return Settings(
            instance=InstanceId(f"entry-{number}"),
            zone=zone,
            address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            platform_url=self.platform.find_url(zone),
            fleet_secret=FLEET_SECRET,
            linger_ms=self._linger_ms,
            quiet_ms=self._linger_ms / 2,
        )

    async def publish_configuration(self, configuration: Configuration) -> None:
        self.configuration = configuration
        value = msgspec.json.encode(configuration)
        await self.platform.publish(CONFIGURATION_KEY, value)

    async def publish_snapshot(self, service: ServiceId, *, sequence: int) -> None:
        """Loads a new index snapshot on the upstreams and publishes its placements."""
        snapshot = self._build_snapshot(service, sequence)
        for upstream in self.upstream_server.upstreams.values():
            if upstream.service == service:
                upstream.load_snapshot(snapshot)
        self.snapshots[service] = snapshot
        value = msgspec.json.encode(snapshot)
        await self.platform.publish(build_index_key(service), value)

    def publish_list(self, *others: EntryInstance) -> None:
        """Publishes the list of all processes, and of ``others`` started elsewhere."""
        self.platform.publish_list(
            self.upstream_server.list_processes()
            + tuple(_list_entry(entry) for entry in (*self.entries, *others))
        )

    def _build_upstreams(self) -> list[StandinUpstream]:
        return [
            StandinUpstream(
                upstream=UpstreamId(f"{service.service}-{number}"),
                service=service.service,
                zone=self.spec.zones[number % len(self.spec.zones)],
                profile=msgspec.structs.replace(self._profile, slots=service.slots),
                random=random.Random(f"{self._seed}/{service.service}/{number}"),
            )
            for service in self.spec.services
            for number in range(service.upstreams)
        ]

    def _build_snapshot(self, service: ServiceId, sequence: int) -> IndexSnapshot:
        upstream_ids = [
            upstream.upstream
            for upstream in self.upstream_server.upstreams.values()
            if upstream.service == service
        ]
        # Consecutive upstreams are in different zones, so that a shard stays available
        # when one zone is lost. The last shard also uses the first upstream, which may
        # be in the same zone.
        placements = tuple(
            ShardPlacement(
                shard=ShardId(f"s{number}"),
                upstreams=tuple(
                    upstream_ids[(number + replica) % len(upstream_ids)]
                    for replica in range(REPLICAS_PER_SHARD)
                ),
            )
            for number in range(len(upstream_ids))
        )
        return IndexSnapshot(
            service=service,
            snapshot=SnapshotId(f"{service}@{sequence}"),
            sequence=sequence,
            shards=placements,
        )

    def _build_configuration(self) -> Configuration:
        accounts = tuple(
            AccountRow(
                account=AccountId(f"account-{number}"),
                rate_per_s=2_000.0 if number < LARGE_ACCOUNT_COUNT else 400.0,
                burst=2_000 if number < LARGE_ACCOUNT_COUNT else 400,
                share=4.0 if number < LARGE_ACCOUNT_COUNT else 1.0,
            )
            for number in range(ACCOUNT_COUNT)
        )
        services = tuple(
            ServiceRow(
                service=spec.service,
                slots=spec.slots,
                connections=spec.connections,
                connect_cost_ms=spec.connect_cost_ms,
                answer_by_ms=500.0,
                deadline_ms=2_000.0,
                prefer=spec.prefer,
            )
            for spec in self.spec.services
        )
        return Configuration(
            revision=1,
            max_instances=self.spec.max_instances,
            accounts=accounts,
            services=services,
            zones=tuple(ZoneRow(zone=zone) for zone in self.spec.zones),
            keys=tuple(self._build_key(row.account) for row in accounts),
        )

    def _build_key(self, account: AccountId) -> KeyRow:
        secret = f"{self.random.getrandbits(256):064x}"
        salt = f"{self.random.getrandbits(128):032x}"
        self.keys[account] = f"key-{account}.{secret}"
        return KeyRow(
            key_id=KeyId(f"key-{account}"),
            account=account,
            salt=salt,
            secret_sha256=hash_secret(salt, secret),
        )


def _list_entry(entry: EntryInstance) -> ListedProcess:
    is_leaving = entry.state.lifecycle.is_draining
    return ListedProcess(
        id=entry.settings.instance,
        role=Role.ENTRY,
        zone=entry.settings.zone,
        address=entry.address,
        peer_address=entry.peer_address,
        state=ListState.LEAVING if is_leaving else ListState.LIVE,
        incarnation=entry.incarnation,
    )
