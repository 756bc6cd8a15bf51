"""A full read of the store that is older than the known state undoes an evacuation."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    MACHINES,
    Answer,
    CaseError,
    Clients,
    Fleet,
    Headers,
    Record,
    Searcher,
    Store,
    run_case,
)

HOST = "hufi27.example"
KEY = "xmibw6kpqk8bdk9eevyx"
ZONE = "san-jose"

# Bounds of the deployment.
EVACUATE_S = 5.0
MAX_STRETCH_S = 12.0
STABLE_WINDOW_S = 4.0

# The slow store: 4 ms an answer, 97 times as long, for 5.4 s.
SLOW_ANSWER_S = 0.004 * 97
SLOW_S = 5.4

# Gateways are down for this time after the kill, by their place in their zone.
DOWN_S = (0.5, 1.5, 0.5)

# Searchers of each service, as many as in the site file.
SEARCHERS = {
    "buscador-noches": 30,
    "boletin-socios": 45,
    "lista-anfitrion": 26,
    "cobros-cuotas": 13,
}

# A range read returns at most this many items.
PAGE_ITEMS = 50


class SlowStore(Store):
    """A store whose answers take longer for a while."""

    def __init__(self, *, record: Record) -> None:
        super().__init__(record=record)
        self.page_items = PAGE_ITEMS
        self.slow_until = 0.0
        self.range_calls = 0

    async def handle(self, method: str, target: str, headers: Headers) -> Answer | None:
        if target.startswith("/kv-range") and "after=" not in target:
            self.range_calls += 1
        answer = await super().handle(method, target, headers)
        if time.monotonic() < self.slow_until:
            await asyncio.sleep(SLOW_ANSWER_S)
        return answer


def build_configuration(version: int) -> dict:
    return {
        "version": version,
        "routes": [
            {
                "name": "r-roster",
                "host": HOST,
                "prefix": "/roster/",
                "kind": "safe",
                "service": "lista-anfitrion",
                "timeoutMs": 1_000,
                "targetLatencyMs": 500,
                "priority": 2,
                "maxAttempts": 2,
                "public": False,
            },
        ],
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 110}
            for name in SEARCHERS
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 262_144,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [
            {
                "name": "miny420",
                "apiKeys": [KEY],
                "priority": 1,
                "ratePerS": 200,
                "burst": 200,
            }
        ],
    }


async def run(record: Record, has_trouble: bool) -> bool:
    runs: dict = {}
    store = SlowStore(record=record)
    await store.start()
    zones = list(MACHINES)
    searchers = [
        Searcher(
            name=f"i-{service[:4]}{number:04d}",
            service=service,
            zone=zones[number % len(zones)],
            record=record,
            runs=runs,
        )
        for service, count in SEARCHERS.items()
        for number in range(count)
    ]
    await store.put("op/config", build_configuration(7))
    for searcher in searchers:
        await searcher.start()
        await store.put(f"servers/{searcher.name}", searcher.describe())
    fleet = Fleet(record=record, store_port=store.port)
    clients = Clients(fleet=fleet, record=record, rng=random.Random(1), host=HOST)
    try:
        await fleet.start()
        traffic = asyncio.create_task(
            clients.run(
                seconds=36.0,
                per_s=60.0,
                kind="roster",
                headers=lambda: {"X-Api-Key": KEY},
            )
        )
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        restarted_at = time.monotonic()
        if has_trouble:
            record.say("the store is slow, and all gateways are killed")
            store.slow_until = time.monotonic() + SLOW_S
            restarted_at = await kill_all(fleet, store, record)
        acknowledged_at = await store.put(f"op/evacuate/{ZONE}", {})
        await traffic
        await clients.finish()
    finally:
        await fleet.stop()
        for server in (store, *searchers):
            server.stop()
    calm_from = max(restarted_at + 5.0, store.slow_until) + STABLE_WINDOW_S
    return judge(record, clients, runs, searchers, acknowledged_at, calm_from)


async def kill_all(fleet: Fleet, store: SlowStore, record: Record) -> float:
    """Kills all gateways; returns once the last of them read the store again."""
    for gateway in fleet.gateways:
        gateway.process.send_signal(signal.SIGKILL)
        gateway.process.wait()
    record.write("all gateways are killed")
    killed_at = time.monotonic()
    known_calls = store.range_calls
    waiting = list(fleet.gateways)
    while waiting or store.range_calls - known_calls < len(fleet.gateways):
        for gateway in list(waiting):
            place = int(gateway.name.rpartition("-")[2]) - 1
            if time.monotonic() - killed_at >= DOWN_S[place]:
                fleet.start_gateway(gateway)
                waiting.remove(gateway)
        if time.monotonic() - killed_at > 4.0:
            break
        await asyncio.sleep(0.01)
    record.say(f"{store.range_calls - known_calls} gateways read the whole state")
    return time.monotonic()


def judge(
    record: Record,
    clients: Clients,
    runs: dict,
    searchers: list[Searcher],
    acknowledged_at: float,
    calm_from: float,
) -> bool:
    """Checks the rule EVAC, with its bound stretched to the utmost."""
    in_zone = {s.name for s in searchers if s.zone == ZONE}
    before = [s for s in clients.sent.values() if s.at < acknowledged_at - 4.0]
    if sum(s.status == 200 for s in before) < len(before) / 2:
        raise CaseError("fewer than half of the requests before were served")
    due_at = max(acknowledged_at + EVACUATE_S + MAX_STRETCH_S, calm_from)
    late = [
        (clients.sent[request], ran)
        for request, list_of_runs in runs.items()
        for ran in list_of_runs
        if ran.searcher in in_zone and ran.at > due_at
    ]
    total = sum(ran.at > due_at for each in runs.values() for ran in each)
    by_gateway = collections.Counter(sent.gateway for sent, _ in late)
    for sent, ran in late[:5]:
        record.say(
            f"{sent.request} from {sent.gateway} reached {ran.searcher} in {ZONE} "
            f"{ran.at - acknowledged_at:.3f} s after the evacuation"
        )
    record.say(f"by gateway: {dict(by_gateway)}")
    record.say(f"EVAC: {len(late)} of {total} requests reached the evacuated zone")
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
