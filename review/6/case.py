"""A configuration takes away the last tenant, and with it the last keys."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import sys

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

HOST = "roster.example"
KEY = "xmibw6kpqk8bdk9eevyx"
NEVER_HELD_KEY = "q2yyazax6pwawxdmdejk"
REVOKE_MS = 5_000
PAUSE_S = 0.1
REVOKED_AT_S, END_S = 3.0, 12.0


def build(version: int, *, has_tenant: bool) -> dict:
    tenant = {"name": "hosts", "apiKeys": [KEY], "ratePerS": 200, "burst": 200}
    return standins.build_configuration(
        version,
        routes=[
            standins.build_route(
                "roster", "/roster/", HOST, service="desk", public=False
            )
        ],
        services=[standins.build_service("desk")],
        tenants=[tenant] if has_tenant else [],
    )


async def send_all(
    case: standins.Case, key: str, prefix: str, sent: dict[str, float], end: float
) -> None:
    clients = [standins.Client(g.host, g.port) for g in case.gateways]
    for number in itertools.count():
        if standins.now() >= end:
            return
        gateway = case.gateways[number % len(clients)]
        request = f"{prefix}{number:04d}"
        sent[request] = standins.now()
        try:
            status, _, _ = await clients[number % len(clients)].ask(
                "/roster/1", request, host=HOST, key=key, deadline_ms=1_000
            )
            case.record.write(f"{request} at {gateway.name}: {status}")
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            case.record.write(f"{request} at {gateway.name}: {error!r}")
        await asyncio.sleep(PAUSE_S)


async def play(case: standins.Case) -> list[str]:
    await case.start(build(1, has_tenant=True))
    started = standins.now()
    with_old_key: dict[str, float] = {}
    with_other_key: dict[str, float] = {}
    end = started + END_S
    sending = [
        asyncio.create_task(send_all(case, KEY, "old-", with_old_key, end)),
        asyncio.create_task(send_all(case, NEVER_HELD_KEY, "never-", with_other_key, end)),
    ]
    await asyncio.sleep(REVOKED_AT_S)
    case.store.put("op/config", build(2, has_tenant=not case.has_trouble))
    acknowledged = standins.now()
    case.record.write("version 2 acknowledged")
    await asyncio.gather(*sending)
    runs = [
        (request, tenant)
        for server in case.servers
        for _, request, tenant in server.runs
    ]
    for request, tenant in runs:
        case.record.write(f"{request} ran, Tenant {tenant!r}")
    late = [
        request
        for request, _ in runs
        if with_old_key.get(request, 0.0) > acknowledged + REVOKE_MS / 1_000
    ]
    never_held = [request for request, _ in runs if request in with_other_key]
    violations = []
    if late and case.has_trouble:
        violations.append(
            f"CONFIG: {len(late)} requests ran that were sent later than {REVOKE_MS} ms after "
            f"the acknowledgement of the version that took their key away, first {late[0]}"
        )
    if never_held:
        violations.append(
            f"ROUTE: {len(never_held)} requests ran whose key no configuration ever held, "
            f"first {never_held[0]}"
        )
    return violations


case = standins.Case(
    FOLDER, gateways=2, bounds={"revokeStrict": True, "revokeMs": REVOKE_MS}
)
for number in (1, 2):
    case.add_server(f"s-{number}", "desk")
standins.run_case(case, play)
