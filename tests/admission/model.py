"""A service of a few slots with a queue, and requests that come to it."""

from __future__ import annotations

import msgspec

from skylarkcart.admission import Admission, AdmissionDecision, AdmissionRequest
from skylarkcart.clock import Millis
from skylarkcart.published import (
    Account,
    CallerLimits,
    Configuration,
    Route,
    ScatterGather,
    Service,
    ServiceShare,
)
from skylarkcart.types import AccountId, ServiceId

DESK = ServiceId("desk")
SHARDS = tuple(ServiceId(f"shard-{number}") for number in range(36))


class FakeRoom(msgspec.Struct, kw_only=True):
    """The fields of ``load.ServiceRoom``."""

    slots: float = 12
    occupied: float = 0.0
    wait_ms: float = 0.0
    age_ms: float = 0.0


def build_route(name: str, priority: int, **fields: object) -> Route:
    values = {
        "name": name,
        "host": "h",
        "prefix": f"/{name}",
        "is_idempotent": True,
        "timeout_ms": 3_000.0,
        "target_latency_ms": 200.0,
        "max_attempts": 2,
        "priority": priority,
        "is_public": False,
        "shares": (ServiceShare(service=DESK, weight=1.0),),
    }
    return Route(**(values | fields))


def build_search(name: str, priority: int, min_coverage: float) -> Route:
    gathering = ScatterGather(shards=SHARDS, top_records=5, min_coverage=min_coverage)
    return build_route(name, priority, shares=(), gathering=gathering)


def build_configuration(
    *routes: Route, accounts: tuple[Account, ...] = ()
) -> Configuration:
    services = tuple(
        Service(service=name, max_connections=10, cold_start_ms=0, cold_calls_per_s=0)
        for name in (DESK, *SHARDS)
    )
    limits = CallerLimits(
        max_header_bytes=1, max_body_bytes=1, header_timeout_ms=1, idle_timeout_ms=1
    )
    return Configuration(
        version=1,
        routes=routes,
        services=services,
        limits=limits,
        accounts=accounts,
        requires_keys=bool(accounts),
    )


def build_account(name: str, priority: int | None = None) -> Account:
    return Account(
        account=AccountId(name),
        keys=(),
        priority=priority or 0,
        rate_per_s=0,
        burst=0,
        has_priority=priority is not None,
    )


URGENT = build_route("urgent", 0)
OVERNIGHT = build_route("overnight", 2)


class Scene:
    """An admission, the room that it is told of, and a clock."""

    def __init__(self, *routes: Route, accounts: tuple[Account, ...] = ()) -> None:
        self.now = Millis(10_000.0)
        self.rooms: dict[ServiceId, FakeRoom] = {}
        self.asked_rooms = 0
        self.share = 1.0
        self.restart(*(routes or (URGENT, OVERNIGHT)), accounts=accounts)

    def restart(self, *routes: Route, accounts: tuple[Account, ...] = ()) -> None:
        self.admission = Admission()
        self.admission.configure(build_configuration(*routes, accounts=accounts))
        for service in (DESK, *SHARDS):
            self.admission.record_report(service, is_full=False, now=self.now)

    def report(self, *services: ServiceId, wait_ms: float, count: int = 3) -> None:
        """Reports of the services' upstreams; without a wait they have free slots."""
        for service in services:
            self.rooms[service] = FakeRoom(occupied=20 if wait_ms else 2)
            self.rooms[service].wait_ms = wait_ms
            for _ in range(count):
                self.admission.record_report(service, is_full=wait_ms > 0, now=self.now)

    def get_room(self, service: ServiceId, work_ms: float) -> FakeRoom | None:
        self.asked_rooms += 1
        return self.rooms.get(service)

    def build(
        self, *, target_ms: float, timeout_ms: float, work_ms: float, **fields: object
    ) -> AdmissionRequest:
        values = {
            "services": (DESK,),
            "needed": 1,
            "priority": 0,
            "account": None,
            "caller": "caller",
            "soft_deadline": Millis(self.now + target_ms),
            "hard_deadline": Millis(self.now + timeout_ms),
            "work_ms": work_ms,
            "is_returning": False,
        }
        return AdmissionRequest(**(values | fields))

    def decide(self, request: AdmissionRequest) -> AdmissionDecision:
        return self.admission.decide(
            request, get_room=self.get_room, share=self.share, now=self.now
        )

    def ask_urgent(self, **fields: object) -> AdmissionDecision:
        """A lookup that answers while a customer is on the phone."""
        return self.decide(
            self.build(target_ms=60, timeout_ms=300, work_ms=10, **fields)
        )

    def ask_overnight(self, **fields: object) -> AdmissionDecision:
        """A lookup that has to be done by the morning."""
        values = {"priority": 2, "caller": "night"} | fields
        return self.decide(
            self.build(target_ms=1_000, timeout_ms=3_000, work_ms=100, **values)
        )
