"""A fleet at a restored store of which some instances start again, without a network.

The reports, transfers and decisions are those of the product. Time, datagrams and the
store are modelled: each instance runs a round of reports every 200 ms, datagrams arrive
after a delay or are lost, and an instance that starts reads the store at once, as if it
had heard nothing from its peers.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Collection

import msgspec

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.fleet import REPORT_INTERVAL_MS, Member
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._kept_state import update_survey
from skylarkcart.gateway._peers import PeerLink, StateTransfer, decode_state
from skylarkcart.gateway._state_request import StateRequest
from skylarkcart.published import Account, Configuration
from skylarkcart.registry import (
    CONFIGURATION_KEY,
    Change,
    ClosedZone,
    Published,
    build_zone_key,
)
from skylarkcart.types import AccountId, Era, InstanceId, ZoneId
from tests.gateway.deployment import build_settings
from tests.gateway.standins import StoreStandin
from tests.registry.test_registry import build_configuration

COPIED_VERSION, REVOKING_VERSION = 1, 2
WITHDRAWN_KEY = "withdrawn"
EVACUATED = ZoneId("zone-b")

DELAYS_MS = (0.5, 8.0)
STEP_MS = 5.0
START_SPREAD_MS = 150.0


def build_version(version: int) -> Configuration:
    """Returns a version of which the first one still has the withdrawn key."""
    keys = ("valid", WITHDRAWN_KEY) if version == COPIED_VERSION else ("valid",)
    account = Account(
        account=AccountId("museum"), keys=keys, priority=0, rate_per_s=0, burst=0
    )
    return msgspec.structs.replace(
        build_configuration(version), accounts=(account,), requires_keys=True
    )


class ModelTransport:
    """Passes the datagrams of an instance to the model."""

    def __init__(self, model: KeptStateModel, host: str) -> None:
        self._model = model
        self._host = host

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._model.send(data, self._host, address[0])

    def close(self) -> None:
        return


class ModelTransfer(StateTransfer):
    """Fetches state from the instances of the model."""

    def __init__(self, *, core: Core, peer_link: PeerLink, model: KeptStateModel):
        super().__init__(core=core, peer_link=peer_link)
        self._model = model

    async def _request_state(
        self, peer: Member, *, wants_kept: bool = False
    ) -> Published | None:
        other = self._model.instances.get(peer.host)
        own_host = self._core.settings.peer_host
        if other is None or not self._model.are_connected(own_host, peer.host):
            raise OSError("no process listens")
        request = StateRequest(
            position=self._core.registry.position, wants_kept=wants_kept
        )
        data = other.transfer.build_response(request)
        return decode_state(data) if data else None


class ModelInstance:
    """A process of an instance: its core, its link to peers and its next round."""

    def __init__(
        self, model: KeptStateModel, number: int, *, is_first: bool, starts_at: Millis
    ) -> None:
        settings = msgspec.structs.replace(
            model.settings,
            instance=InstanceId(f"gateway-{number}"),
            zone=model.zones[number % len(model.zones)],
            peer_host=model.hosts[number],
            is_first_start=is_first,
        )
        incarnation = int(starts_at) + 1
        self.host = settings.peer_host
        self.core = Core(
            settings=settings,
            clock=model.clock,
            random=random.Random(f"{model.seed}:{number}:{incarnation}"),
            incarnation=incarnation,
        )
        self.link = PeerLink(core=self.core, incarnation=incarnation)
        self.link.connection_made(ModelTransport(model, self.host))
        self.transfer = ModelTransfer(core=self.core, peer_link=self.link, model=model)
        self.next_round_at = starts_at

    def read_store(self, version: int, *, era: int, closed: bool = False) -> None:
        """Applies a full read of a store that holds a version."""
        changes = [
            Change(key=CONFIGURATION_KEY, revision=5, value=build_version(version))
        ]
        if closed:
            zone = Change(
                key=build_zone_key(EVACUATED),
                revision=6,
                value=ClosedZone(zone=EVACUATED),
            )
            changes.append(zone)
        self.core.registry.apply_snapshot(
            changes, revision=10, now=self.core.now, era=Era(era)
        )
        self.core.registry.confirm(self.core.now)
        self.core.apply_published_state()
        update_survey(self.core)

    @property
    def accepts_withdrawn_key(self) -> bool:
        """Whether a request with the withdrawn key would be admitted now."""
        core = self.core
        core.registry.confirm(core.now)
        return (
            core.has_current_keys(core.now)
            and core.table.find_account(WITHDRAWN_KEY) is not None
        )


class KeptStateModel:
    """Instances that have seen what the store's copy lacks, except those ``behind``."""

    def __init__(
        self,
        *,
        count: int,
        zone_count: int,
        seed: int,
        loss: float = 0.0,
        behind: Collection[int] = (),
    ) -> None:
        self.seed = seed
        self._random = random.Random(seed)
        self._loss = loss
        self.clock = ManualClock(start=Millis(1_000.0))
        self.zones = tuple(ZoneId(f"zone-{n}") for n in range(zone_count))
        self.hosts = [f"10.0.{n // 250}.{n % 250}" for n in range(count)]
        self.settings = build_settings(
            StoreStandin(), zones=self.zones, seed_hosts=tuple(self.hosts[:3])
        )
        self.instances: dict[str, ModelInstance] = {}
        self._cut_off: set[str] = set()
        self._datagrams: list[tuple[float, int, str, bytes]] = []
        self._numbers = itertools.count()
        for number in range(count):
            starts_at = Millis(self.clock.now() + self._random.uniform(0, 200))
            instance = ModelInstance(self, number, is_first=True, starts_at=starts_at)
            self.instances[instance.host] = instance
            if number in behind:
                instance.read_store(COPIED_VERSION, era=1)
            else:
                instance.read_store(REVOKING_VERSION, era=1, closed=True)

    def cut_off(self, number: int) -> None:
        """Cuts an instance off from the others."""
        self._cut_off.add(self.hosts[number])

    def reconnect(self, number: int) -> None:
        self._cut_off.discard(self.hosts[number])

    def are_connected(self, first: str, second: str) -> bool:
        return first == second or not {first, second} & self._cut_off

    def confirm_all(self) -> None:
        """Confirms the state of all instances, as watches of the store do."""
        for instance in self.instances.values():
            instance.core.registry.confirm(self.clock.now())

    def send(self, data: bytes, source: str, host: str) -> None:
        if not self.are_connected(source, host):
            return
        if self._random.random() < self._loss:
            return
        arrives_at = self.clock.now() + self._random.uniform(*DELAYS_MS)
        heapq.heappush(self._datagrams, (arrives_at, next(self._numbers), host, data))

    async def run_for(self, duration_ms: float, *, on_step=lambda: None) -> None:
        end = self.clock.now() + duration_ms
        while self.clock.now() < end:
            self.clock.advance(STEP_MS)
            await self._run_step()
            on_step()

    async def _run_step(self) -> None:
        now = self.clock.now()
        while self._datagrams and self._datagrams[0][0] <= now:
            *_, host, data = heapq.heappop(self._datagrams)
            if host in self.instances:
                self.instances[host].link.datagram_received(data, ("", 0))
        for instance in list(self.instances.values()):
            if instance.next_round_at <= now:
                instance.next_round_at = Millis(
                    instance.next_round_at + REPORT_INTERVAL_MS
                )
                instance.link.run_round()
            if instance.link.peer_has_state.is_set():
                instance.link.peer_has_state.clear()
                await instance.transfer.fetch()

    def restore_store(self) -> None:
        """Lets all instances learn of a store that came back from the copy."""
        for instance in self.instances.values():
            instance.read_store(COPIED_VERSION, era=2)

    async def restart(
        self, numbers: list[int], *, down_ms: float
    ) -> list[ModelInstance]:
        """Ends instances at once; each reads the store when it starts again."""
        for number in numbers:
            del self.instances[self.hosts[number]]
        await self.run_for(down_ms)
        restarted = []
        for number in numbers:
            starts_at = Millis(
                self.clock.now() + self._random.uniform(0, START_SPREAD_MS)
            )
            instance = ModelInstance(self, number, is_first=False, starts_at=starts_at)
            restarted.append(instance)
        self._random.shuffle(restarted)
        for instance in sorted(restarted, key=lambda known: known.next_round_at):
            await self.run_for(instance.next_round_at - self.clock.now())
            self.instances[instance.host] = instance
            instance.read_store(COPIED_VERSION, era=2)
        return restarted
