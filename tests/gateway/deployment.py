"""A gateway instance with stand-ins for its dependencies, all in one process."""

from __future__ import annotations

import asyncio
import secrets
import socket

from skylarkcart.gateway._instance import GatewayInstance
from skylarkcart.gateway_settings import Bounds, GatewaySettings
from skylarkcart.published import Address
from skylarkcart.types import InstanceId, ZoneId
from tests.gateway.standins import (
    HOST,
    Caller,
    StoreStandin,
    UpstreamStandin,
    build_configuration,
)

READY_TIMEOUT_S = 10.0


# Below the ports that the system gives to outgoing connections, one of which could
# otherwise take a port between its choice and its use.
PORTS = range(15_000, 32_000)

_ports_in_use: set[int] = set()


def find_free_port() -> int:
    """Returns a port that no process listens on and that was not returned before."""
    while True:
        # Not from the seeded generator: test processes run side by side.
        port = secrets.choice(PORTS)
        if port in _ports_in_use:
            continue
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        _ports_in_use.add(port)
        return port


def build_settings(store: StoreStandin, **fields: object) -> GatewaySettings:
    bounds = Bounds(
        shutdown_grace_ms=6_000.0,
        key_revocation_ms=5_000.0,
        extra_calls_ratio=0.2,
        extra_calls_window_ms=10_000.0,
        extra_calls_slack=50.0,
    )
    values = {
        "instance": InstanceId("gateway-1"),
        "zone": ZoneId("zone-a"),
        "zones": (ZoneId("zone-a"),),
        "caller_address": Address(host=HOST, port=find_free_port()),
        "readiness_address": Address(host=HOST, port=find_free_port()),
        "platform_address": Address(host=HOST, port=store.port),
        "peer_host": HOST,
        "peer_port": find_free_port(),
        "metrics_port": find_free_port(),
        "seed_hosts": (),
        "is_first_start": False,
        "link_mbps": 1_000.0,
        "memory_mb": 200.0,
        "max_descriptors": 4_100,
        "bounds": bounds,
    } | fields
    return GatewaySettings(**values)


class Deployment:
    """A store, several upstreams and one gateway instance."""

    def __init__(self) -> None:
        self.store = StoreStandin()
        self.upstreams = {
            name: UpstreamStandin(upstream=name, service=service)
            for name, service in (
                ("a1", "shard-1"),
                ("a2", "shard-1"),
                ("b1", "shard-2"),
                ("b2", "shard-2"),
                ("d1", "desk"),
                ("d2", "desk"),
            )
        }
        self.settings: GatewaySettings | None = None
        self.instance: GatewayInstance | None = None

    async def start(self) -> None:
        await self.store.start()
        await self.store.put("op/config", build_configuration())
        for upstream in self.upstreams.values():
            await upstream.start()
            await self.store.put(f"servers/{upstream.upstream}", upstream.describe())
        self.settings = build_settings(self.store)
        self.instance = GatewayInstance(settings=self.settings)
        await self.instance.start()
        await self.wait_for(lambda: self.instance._core.lifecycle.is_ready)

    def open_caller(self) -> Caller:
        return Caller(port=self.settings.caller_address.port)

    async def wait_for(self, condition) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def list_runs(self, request: str) -> list[str]:
        return [
            upstream.upstream
            for upstream in self.upstreams.values()
            for run, _ in upstream.runs
            if run == request
        ]

    def stop(self) -> None:
        self.instance.stop_immediately()
        self.store.stop()
        for upstream in self.upstreams.values():
            upstream.stop()
