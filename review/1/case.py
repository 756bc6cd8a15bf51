"""An unreadable entry of a searcher stops the gateways from reading the store."""

from __future__ import annotations

import asyncio
import collections
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    MACHINES,
    CaseError,
    Clients,
    Fleet,
    Record,
    Searcher,
    Store,
    run_case,
)

HOST = "hufi27.example"
KEY = "xmibw6kpqk8bdk9eevyx"
CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 4.0

# JSON that is nested this deep can't be decoded; the store holds values of up to
# 1,048,576 bytes.
NESTING = 1_500


def build_configuration(version: int, notice_service: str) -> dict:
    common = {
        "host": HOST,
        "kind": "safe",
        "timeoutMs": 1_000,
        "targetLatencyMs": 500,
        "priority": 2,
        "maxAttempts": 2,
    }
    return {
        "version": version,
        "routes": [
            common
            | {
                "name": "r-notice",
                "prefix": "/notice/",
                "service": notice_service,
                "public": True,
            },
            common
            | {
                "name": "r-roster",
                "prefix": "/roster/",
                "service": "lista-anfitrion",
                "public": False,
            },
        ],
        "services": [
            {"name": name, "healthPath": "/healthz", "maxConns": 110}
            for name in ("lista-anfitrion", "cobros-cuotas")
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
                "ratePerS": 44,
                "burst": 44,
            }
        ],
    }


async def run(record: Record, has_trouble: bool) -> bool:
    runs: dict = {}
    store = Store(record=record)
    await store.start()
    searchers = [
        Searcher(
            name=f"i-{service[:4]}{number:04d}",
            service=service,
            zone=zone,
            record=record,
            runs=runs,
        )
        for service in ("lista-anfitrion", "cobros-cuotas")
        for number, zone in enumerate(MACHINES)
    ]
    await store.put("op/config", build_configuration(7, "lista-anfitrion"))
    for searcher in searchers:
        await searcher.start()
        await store.put(f"servers/{searcher.name}", searcher.describe())
    fleet = Fleet(record=record, store_port=store.port)
    clients = Clients(fleet=fleet, record=record, rng=random.Random(1), host=HOST)
    try:
        await fleet.start()
        traffic = asyncio.gather(
            clients.run(seconds=19.0, per_s=40.0, kind="notice"),
            clients.run(
                seconds=19.0,
                per_s=20.0,
                kind="roster",
                headers=lambda: {"X-Api-Key": KEY},
            ),
        )
        await asyncio.sleep(STABLE_WINDOW_S + 1.0)
        if has_trouble:
            value = b'{"service":' + b"[" * NESTING + b"]" * NESTING + b"}"
            value = b'{"note":' + value + b"}"
            await store.put("servers/i-7f3a91c2", value)
            await asyncio.sleep(1.0)
        acknowledged_at = await store.put(
            "op/config", build_configuration(9, "cobros-cuotas")
        )
        await traffic
        await clients.finish()
        errors = collections.Counter()
        for gateway in fleet.gateways:
            for line in fleet.read_logs(gateway):
                if line["event"] == "internal_error":
                    errors[f"{line['part']}: {line['detail'][:60]}"] += 1
    finally:
        await fleet.stop()
        for server in (store, *searchers):
            server.stop()
    for error, count in errors.items():
        record.say(f"logged by the gateways, {count} times: {error}")
    return judge(record, clients, runs, acknowledged_at)


def judge(record: Record, clients: Clients, runs: dict, acknowledged_at: float) -> bool:
    """Checks the rule CONFIG for requests sent after the bound."""
    before = [s for s in clients.sent.values() if s.at < acknowledged_at]
    if sum(s.status == 200 for s in before) < len(before) / 2:
        raise CaseError("fewer than half of the requests before the change were served")
    due = [
        sent
        for sent in clients.sent.values()
        if sent.at > acknowledged_at + CONFIG_APPLY_S
    ]
    for kind in ("notice", "roster"):
        counts = collections.Counter(sent.status for sent in due if sent.kind == kind)
        record.say(f"{kind}, sent later than 3 s after the change: {dict(counts)}")
    late = [
        (sent, ran)
        for sent in due
        if sent.kind == "notice"
        for ran in runs.get(sent.request, ())
        if ran.service == "lista-anfitrion"
    ]
    for sent, ran in late[:5]:
        record.say(
            f"{sent.request}, sent to {sent.gateway} "
            f"{sent.at - acknowledged_at:.3f} s after the change, ran at {ran.searcher} "
            f"of the old service"
        )
    record.say(f"CONFIG: {len(late)} requests ran at the old service after the bound")
    return bool(late)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, run))
