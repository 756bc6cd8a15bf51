"""A withdrawn key works again at gateways that restart while the store is restored."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as standins  # noqa: E402

HOST = "roster.example"
KEY = "xmibw6kpqk8bdk9eevyx"
OTHER_KEY = "q2yyazax6pwawxdmdejk"
REVOKE_S = 5.0
PAUSE_S = 0.05

# The gateways 1 to 4 of 5, the seeds among them, are killed at once.
GATEWAYS, KILLED = 5, 4
ZONES = ("zone-a", "zone-b", "zone-c", "zone-c", "zone-d")
RESTART_S = 0.5

COPIED_AT_S, REVOKED_AT_S, DOWN_AT_S, BACK_AT_S = 2.0, 2.2, 5.6, 5.9
KILLED_AT_S = 6.0
# The operator writes again what was lost, 2.5 s after the store is back.
WRITTEN_AT_S, END_S = BACK_AT_S + 2.5, 10.0


def build(version: int, keys: list[str]) -> dict:
    tenant = {"name": "hosts", "apiKeys": keys, "ratePerS": 0, "burst": 0}
    return standins.build_configuration(
        version,
        routes=[standins.build_route("roster", "/roster/", HOST, service="desk")],
        services=[standins.build_service("desk")],
        tenants=[tenant],
    )


async def send_all(
    case: standins.Case, gateway: standins.Gateway, sent: dict[str, float], end: float
) -> None:
    """Sends requests with the key to one gateway, on a new connection after a failure."""
    client = standins.Client(gateway.host, gateway.port)
    for number in itertools.count():
        if standins.now() >= end:
            return
        request = f"{gateway.name}-{number:04d}"
        sent[request] = standins.now()
        try:
            status, _, _ = await client.ask(
                "/roster/1", request, host=HOST, key=KEY, deadline_ms=1_000
            )
            case.record.write(f"{request}: {status}")
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            client.close()
            case.record.write(f"{request}: {type(error).__name__}")
        await asyncio.sleep(PAUSE_S)


async def play(case: standins.Case) -> list[str]:
    store = case.store
    await case.start(build(1, [KEY, OTHER_KEY]))
    started = standins.now()
    sent: dict[str, float] = {}
    sending = [
        asyncio.create_task(send_all(case, gateway, sent, started + END_S))
        for gateway in case.gateways
    ]

    async def wait_until(at_s: float) -> None:
        await asyncio.sleep(max(0.0, started + at_s - standins.now()))

    await wait_until(COPIED_AT_S)
    copy = store.take_copy()
    case.record.write("a copy of the store is made")
    await wait_until(REVOKED_AT_S)
    store.put("op/config", build(2, [OTHER_KEY]))
    acknowledged = standins.now()
    case.record.write("version 2, which takes the key away, is acknowledged")
    await wait_until(DOWN_AT_S)
    if case.has_trouble:
        store.go_down()
        case.record.write("the store is away")
    await wait_until(BACK_AT_S)
    if case.has_trouble:
        store.restore(copy)
        await store.come_back()
        case.record.write(f"the store is back from the copy, in era {store.era}")
    await wait_until(KILLED_AT_S)
    killed = case.gateways[:KILLED]
    for gateway in killed:
        gateway.signal(signal.SIGKILL)
    case.record.write(f"killed: {[gateway.name for gateway in killed]}")
    await asyncio.sleep(RESTART_S)
    for gateway in killed:
        gateway.process.wait()
        case.start_gateway(gateway, is_first=False)
    await wait_until(WRITTEN_AT_S)
    if case.has_trouble:
        store.put("op/config", build(2, [OTHER_KEY]))
        case.record.write("the operator writes version 2 again")
    await asyncio.gather(*sending)
    late = [
        (request, sent[request] - acknowledged)
        for server in case.servers
        for _, request, _ in server.runs
        if sent.get(request, 0.0) > acknowledged + REVOKE_S
    ]
    for request, after_s in late:
        case.record.write(f"{request} ran, sent {after_s:.2f} s after the acknowledgement")
    if not late:
        return []
    return [
        f"CONFIG: {len(late)} requests ran that were sent later than {REVOKE_S:.0f} s "
        f"after the acknowledgement of the version that took their key away, from "
        f"{min(late, key=lambda run: run[1])[1]:.2f} to {max(run[1] for run in late):.2f} s"
    ]


case = standins.Case(
    FOLDER,
    gateways=GATEWAYS,
    bounds={"revokeStrict": True, "revokeMs": int(REVOKE_S * 1000)},
    zones=ZONES,
)
for number in (1, 2):
    case.add_server(f"s-{number}", "desk")
standins.run_case(case, play)
