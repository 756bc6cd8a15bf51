"""Faults and planned operations, which a seeded random generator picks.

They run one after the other and also overlap.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import time
from collections.abc import Awaitable, Callable

import msgspec

from tests.callers.crowds import CROWDS, play_crowd
from tests.soak.environment import (
    GATEWAY_COUNT,
    STOP_GRACE_S,
    ResponseFault,
    SoakEnvironment,
)
from tests.soak.proxy import Fault

FAULT_PHASE_S = 8.0
RECOVERY_PHASE_S = 9.0
SETTLE_S = 4.0
WARM_UP_S = 2.5

# Minimum ratio of requests with status 200 after all faults have ended.
MIN_SERVED_RATIO = 0.9

CROWD_CONNECTIONS = 40

Step = Callable[[SoakEnvironment], Awaitable[None]]


class SoakResult(msgspec.Struct, frozen=True, kw_only=True):
    """The steps that a seed ran, and the violations of guarantees that were found."""

    seed: int
    steps: tuple[str, ...]
    requests: int
    served: int
    violations: tuple[str, ...]


async def kill(environment: SoakEnvironment) -> None:
    """Kills a gateway and starts it again."""
    number = environment.rng.randrange(GATEWAY_COUNT)
    pause_s = environment.rng.uniform(0.0, 1.5)
    await environment.replace_gateway(number, signal.SIGKILL, pause_s=pause_s)


async def kill_all(environment: SoakEnvironment) -> None:
    """Kills all gateways at once and starts them again."""
    async with asyncio.TaskGroup() as group:
        for number in range(GATEWAY_COUNT):
            group.create_task(environment.replace_gateway(number, signal.SIGKILL))


async def freeze(environment: SoakEnvironment) -> None:
    """Suspends the process of a gateway for a while."""
    number = environment.rng.randrange(GATEWAY_COUNT)
    environment.signal_gateway(number, signal.SIGSTOP)
    await asyncio.sleep(environment.rng.uniform(0.3, 5.5))
    environment.signal_gateway(number, signal.SIGCONT)


async def terminate(environment: SoakEnvironment) -> None:
    """Shuts a gateway down gracefully and starts it again."""
    await environment.replace_gateway(
        environment.rng.randrange(GATEWAY_COUNT), signal.SIGTERM
    )


async def hang_up(environment: SoakEnvironment) -> None:
    """Sends SIGHUP to a gateway."""
    environment.signal_gateway(environment.rng.randrange(GATEWAY_COUNT), signal.SIGHUP)


async def trouble_store(environment: SoakEnvironment) -> None:
    """Injects a fault between the gateways and the store."""
    start = time.monotonic()
    fault = environment.rng.choice(list(Fault))
    environment.store_proxy.set_fault(fault, delay_s=environment.rng.choice((0.0, 0.2)))
    await asyncio.sleep(environment.rng.uniform(0.5, 6.0))
    environment.store_proxy.set_fault(Fault.NONE)
    environment.ledger.store_fault_periods.append((start, time.monotonic()))


async def trouble_upstream(environment: SoakEnvironment) -> None:
    """Injects a fault between the gateways and an upstream."""
    proxy = environment.rng.choice(list(environment.proxies.values()))
    proxy.set_fault(
        environment.rng.choice(list(Fault)), delay_s=environment.rng.choice((0.0, 0.1))
    )
    await asyncio.sleep(environment.rng.uniform(0.3, 4.0))
    proxy.set_fault(Fault.NONE)


async def spoil_responses(environment: SoakEnvironment) -> None:
    """Makes one or several upstreams spoil a part of their responses."""
    upstreams = list(environment.upstreams.values())
    fault = environment.rng.choice(list(ResponseFault))
    affected = environment.rng.sample(upstreams, environment.rng.choice((1, 1, 4)))
    for upstream in affected:
        upstream.fault, upstream.fault_ratio = fault, 0.2
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    for upstream in affected:
        upstream.fault_ratio = 0.0


async def reconfigure(environment: SoakEnvironment) -> None:
    """Publishes a new version of the configuration."""
    await environment.publish_configuration()


async def withdraw_key(environment: SoakEnvironment) -> None:
    """Removes a key from the configuration."""
    key = environment.rng.choice(("key-b", "key-c"))
    if environment.keys.pop(key, None) is not None:
        await environment.publish_configuration()
        environment.ledger.revoked_at[key] = time.monotonic()


async def replace_upstream(environment: SoakEnvironment) -> None:
    """Adds a replacement for an upstream, then drains and removes the old one."""
    name = environment.rng.choice(list(environment.upstreams))
    if (
        name in environment.ledger.draining_since
        or environment.upstreams[name].is_leaving
    ):
        return
    service = environment.upstreams[name].service
    await environment.add_upstream(service, f"{name}-next")
    await environment.write_entry(name, "draining")
    environment.ledger.draining_since[name] = time.monotonic()
    await asyncio.sleep(STOP_GRACE_S)
    await environment.store.delete(f"servers/{name}")


async def write_unreadable_entry(environment: SoakEnvironment) -> None:
    """Writes an entry that can't be decoded, as any other process may."""
    key = f"servers/unreadable-{environment.rng.randrange(10**6)}"
    await environment.store.put(key, environment.rng.choice(UNREADABLE_ENTRIES))
    await asyncio.sleep(environment.rng.uniform(0.5, 8.0))
    await environment.store.delete(key)


async def write_large_entries(environment: SoakEnvironment) -> None:
    """Writes more values at once than one response of the store may hold."""
    keys = [f"servers/large-{environment.rng.randrange(10**6)}" for _ in range(13)]
    for key in dict.fromkeys(keys):
        await environment.store.put(key, b"x" * LARGE_VALUE_BYTES)
    await asyncio.sleep(environment.rng.uniform(0.5, 8.0))
    for key in dict.fromkeys(keys):
        await environment.store.delete(key)


async def release_upstream(environment: SoakEnvironment) -> None:
    """Lets an upstream say that it leaves; its entry stays ready until it is gone."""
    name = environment.rng.choice(list(environment.upstreams))
    upstream = environment.upstreams[name]
    if upstream.is_leaving or name in environment.ledger.draining_since:
        return
    await environment.add_upstream(upstream.service, f"{name}-next")
    upstream.is_leaving = True
    await asyncio.sleep(STOP_GRACE_S)
    await environment.store.delete(f"servers/{name}")


async def pause_upstreams(environment: SoakEnvironment) -> None:
    """Lets some upstreams refuse requests and ask for time."""
    upstreams = list(environment.upstreams.values())
    affected = environment.rng.sample(upstreams, environment.rng.choice((1, 1, 3)))
    pause_s = environment.rng.uniform(0.5, 2.0)
    for upstream in affected:
        upstream.retry_after = f"{pause_s:.2f}"
    await asyncio.sleep(environment.rng.uniform(0.3, 2.0))
    for upstream in affected:
        upstream.retry_after = None


async def evacuate_zone(environment: SoakEnvironment) -> None:
    """Evacuates an availability zone and takes it back."""
    zone = environment.rng.choice(("zone-a", "zone-b"))
    key = f"op/evacuate/{zone}"
    if key in environment.store.items:
        return
    await environment.store.put(key, {})
    start = time.monotonic()
    await asyncio.sleep(environment.rng.uniform(1.0, 12.0))
    environment.ledger.evacuations.append((zone, start, time.monotonic()))
    await environment.store.delete(key)


async def restore_store(environment: SoakEnvironment) -> None:
    """Restores the store from a copy that is some seconds old.

    The operators and the upstreams then write again what was lost, unless they have
    written it anew meanwhile.
    """
    store, rng = environment.store, environment.rng
    async with environment.restore_lock:
        copy = store.take_copy()
        await asyncio.sleep(rng.uniform(0.5, 3.0))
        start = time.monotonic()
        store.is_unavailable = True
        await asyncio.sleep(rng.uniform(0.2, 1.5))
        latest = dict(store.items)
        await store.restore(copy)
        store.is_unavailable = False
        environment.ledger.store_fault_periods.append((start, time.monotonic()))
        await asyncio.sleep(rng.uniform(0.2, 2.0))
        for key in copy.items.keys() | latest.keys():
            written = {event["key"] for event in store.events[len(copy.events) :]}
            if key in written or copy.items.get(key) == latest.get(key):
                continue
            if key in latest:
                await store.put(key, latest[key][1])
            else:
                await store.delete(key)


async def send_crowd(environment: SoakEnvironment) -> None:
    """Opens connections of callers outside the limits at one gateway."""
    crowd = CROWDS[environment.rng.choice(list(CROWDS))]
    members = await play_crowd(
        msgspec.structs.replace(crowd, connections=CROWD_CONNECTIONS),
        host=environment.choose_host(),
        port=8363,
        timeout_s=environment.rng.uniform(0.5, 4.0),
    )
    await asyncio.sleep(environment.rng.uniform(0.0, 2.0))
    for member in members:
        member.leave()


# The largest value that the store holds.
LARGE_VALUE_BYTES = 1_048_576

UNREADABLE_ENTRIES = (
    b"",
    b"\xff\x00",
    b"[" * 1_500,
    b'{"labels": ' + b"[" * 1_500 + b"]" * 1_500 + b"}",
    b'{"service": "desk", "address": "127.0.0.1:%b", "zone": "zone-a", "slots": 1, '
    b'"state": "ready", "coldLeftMs": 0}' % (b"8" * 5_000),
    b'{"service": "desk", "address": "127.0.0.1:80", "zone": "zone-a", "slots": %d, '
    b'"state": "ready", "coldLeftMs": 0}' % 2**64,
)

STEPS: tuple[Step, ...] = (
    kill,
    kill_all,
    freeze,
    terminate,
    terminate,
    hang_up,
    trouble_store,
    trouble_store,
    trouble_upstream,
    trouble_upstream,
    spoil_responses,
    spoil_responses,
    reconfigure,
    withdraw_key,
    replace_upstream,
)


# Seeds that once found a violation keep the steps that they had.
ALL_STEPS = (
    *STEPS,
    write_unreadable_entry,
    write_unreadable_entry,
    evacuate_zone,
    evacuate_zone,
)
LATEST_STEPS = (
    *ALL_STEPS,
    write_large_entries,
    release_upstream,
    release_upstream,
    pause_upstreams,
    pause_upstreams,
)


RESTORING_STEPS = (*LATEST_STEPS, restore_store, restore_store, restore_store)

CALLER_STEPS = (*LATEST_STEPS, send_crowd, send_crowd, send_crowd)

MIXED_STEPS = (*RESTORING_STEPS, send_crowd, send_crowd, send_crowd)


async def run_seed(
    seed: int, folder: pathlib.Path, *, choices: tuple[Step, ...] = MIXED_STEPS
) -> SoakResult:
    """Runs a seed's steps against an environment of its own."""
    environment = SoakEnvironment(seed=seed, folder=folder)
    steps: list[str] = []
    violations: list[str] = []
    await environment.start()
    try:
        await asyncio.sleep(WARM_UP_S)
        environment.start_callers()
        async with asyncio.TaskGroup() as group:
            phase_end = time.monotonic() + FAULT_PHASE_S
            while time.monotonic() < phase_end:
                step = environment.rng.choice(choices)
                steps.append(step.__name__)
                group.create_task(step(environment))
                await asyncio.sleep(environment.rng.uniform(0.1, 2.0))
        await asyncio.sleep(SETTLE_S)
        recovered_at = time.monotonic()
        await asyncio.sleep(RECOVERY_PHASE_S - SETTLE_S)
        violations = _check_recovery(environment, recovered_at)
        violations += environment.list_memory_violations()
    finally:
        await environment.stop()
    violations += environment.ledger.list_violations()
    sent = environment.ledger.sent.values()
    return SoakResult(
        seed=seed,
        steps=tuple(steps),
        requests=len(sent),
        served=sum(request.status == 200 for request in sent),
        violations=tuple(violations),
    )


def _check_recovery(environment: SoakEnvironment, since: float) -> list[str]:
    # Later requests may still be within their deadline of 2 s.
    until = time.monotonic() - 2.0
    sent = [
        request
        for request in environment.ledger.sent.values()
        if since <= request.sent_at <= until
        and request.key in environment.keys
        and request.status != 429
    ]
    served = sum(request.status == 200 for request in sent)
    if sent and served >= MIN_SERVED_RATIO * len(sent):
        return []
    statuses = sorted({request.status for request in sent})
    return [f"RECOVER {served} of {len(sent)} served, statuses {statuses}"]
