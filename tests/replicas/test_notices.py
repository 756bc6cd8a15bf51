"""Guards against calls to upstreams that said that they want none.

An upstream that leaves says so in its answers, often before its entry does, and the
store may be away meanwhile. One that is overloaded asks for time.
"""

from __future__ import annotations

import random

import msgspec
import pytest

from skylarkcart.clock import Millis
from skylarkcart.published import (
    Address,
    RegisteredUpstream,
    UpstreamEntry,
    UpstreamState,
)
from skylarkcart.replicas import Replicas
from skylarkcart.replicas._notices import MAX_NOTICES, MAX_PAUSE_MS, UpstreamNotices
from skylarkcart.types import ServiceId, UpstreamId, ZoneId

SERVICE = ServiceId("desk")


def build_entry(name: str = "i-1", **fields: object) -> UpstreamEntry:
    entry = UpstreamEntry(
        upstream=UpstreamId(name),
        service=SERVICE,
        address=Address(host="127.0.0.1", port=80),
        zone=ZoneId("zone-a"),
        slots=4,
        state=UpstreamState.READY,
        born_ms=1_000,
    )
    return msgspec.structs.replace(entry, **fields)


class Registered:
    """Replicas and the entries that the store holds."""

    def __init__(self, *entries: UpstreamEntry) -> None:
        self.replicas = Replicas(zone=ZoneId("zone-a"), random=random.Random(1))
        self.publish(*entries)

    def publish(self, *entries: UpstreamEntry, closed: tuple[str, ...] = ()) -> None:
        known = {
            entry.upstream: RegisteredUpstream(entry=entry, first_seen_at=Millis(0))
            for entry in entries
        }
        self.replicas.update(known, closed)

    def select(self, now: float = 0.0) -> str | None:
        chosen = self.replicas.select(SERVICE, now=Millis(now), typical_ms=5.0)
        return None if chosen is None else chosen.entry.upstream

    def leave(self, name: str = "i-1") -> None:
        self.replicas.record_leaving(self.replicas.replicas[UpstreamId(name)])

    def pause(self, pause_ms: float, *, now: float = 0.0, name: str = "i-1") -> None:
        replica = self.replicas.replicas[UpstreamId(name)]
        self.replicas.record_pause(replica, pause_ms, Millis(now))


def test_leaving_upstream_gets_no_call_although_its_entry_says_ready() -> None:
    registered = Registered(build_entry())
    registered.leave()
    assert registered.select() is None
    registered.publish(build_entry())
    assert registered.select(now=1e9) is None
    assert not registered.replicas.has_upstreams(SERVICE)


def test_other_process_of_the_name_gets_calls() -> None:
    registered = Registered(build_entry())
    registered.leave()
    registered.publish(build_entry(born_ms=2_000))
    assert registered.select() == "i-1"


@pytest.mark.parametrize("closed", [(), ("zone-a",)])
def test_leaving_process_stays_unused_when_its_entry_returns(closed: tuple) -> None:
    """An entry may lapse in an outage of the store, and a zone may be taken back."""
    registered = Registered(build_entry())
    registered.leave()
    registered.publish(*([build_entry()] if closed else []), closed=closed)
    registered.publish(build_entry())
    assert registered.select() is None


def test_unknown_start_time_counts_as_another_process_if_the_entry_was_gone() -> None:
    registered = Registered(build_entry(born_ms=None))
    registered.leave()
    registered.publish(build_entry(born_ms=None))
    assert registered.select() is None
    registered.publish()
    registered.publish(build_entry(born_ms=None))
    assert registered.select() == "i-1"


def test_paused_upstream_gets_no_call_and_no_probe_until_then() -> None:
    registered = Registered(build_entry(), build_entry("i-2"))
    registered.pause(1_500.0)
    assert {registered.select(now) for now in range(0, 1_500, 100)} == {"i-2"}
    replica = registered.replicas.replicas[UpstreamId("i-1")]
    for _ in range(2):
        replica.record_connection_failure(Millis(0))
    assert registered.replicas.list_probes(Millis(1_400)) == []
    assert registered.replicas.list_probes(Millis(1_600)) == [replica]


def test_pause_is_bounded_and_not_shortened_by_an_older_response() -> None:
    notices = UpstreamNotices()
    entry = build_entry()
    assert notices.record_pause(entry, 2_000.0, Millis(0)) == 2_000
    assert notices.record_pause(entry, 100.0, Millis(50)) == 2_000
    assert notices.record_pause(entry, 1e300, Millis(100)) == 100 + MAX_PAUSE_MS


def test_pause_outlasts_an_evacuation_and_ends_with_the_process() -> None:
    registered = Registered(build_entry())
    registered.pause(2_000.0)
    registered.publish(build_entry(), closed=("zone-a",))
    registered.publish(build_entry())
    assert registered.select(now=1_000) is None
    registered.publish(build_entry(born_ms=2_000))
    assert registered.select(now=1_000) == "i-1"


def test_service_is_available_when_its_first_pause_ends() -> None:
    registered = Registered(build_entry(), build_entry("i-2"))
    available = registered.replicas.get_available_at
    assert available(SERVICE, Millis(5)) == 5
    registered.pause(900.0)
    assert available(SERVICE, Millis(5)) == 5
    registered.pause(400.0, name="i-2")
    assert available(SERVICE, Millis(5)) == 400
    assert available(ServiceId("other"), Millis(5)) is None


def test_notices_stay_bounded() -> None:
    notices = UpstreamNotices()
    for number in range(MAX_NOTICES + 10):
        notices.record_leaving(build_entry(f"i-{number}"))
    assert len(notices._notices) == MAX_NOTICES
    assert notices.is_leaving(build_entry(f"i-{MAX_NOTICES}"))
