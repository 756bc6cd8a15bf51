"""Injects faults between caller, entry instance and upstream, and counts filing runs.

All of them communicate over real sockets.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Collection
from types import TracebackType

import h11
import msgspec

from skylarkcart.declarations import (
    AccountRow,
    Configuration,
    IndexSnapshot,
    KeyRow,
    ListedProcess,
    ServiceRow,
    ZoneRow,
)
from skylarkcart.entry import EntryInstance, Settings
from skylarkcart.keys import hash_secret
from skylarkcart.platform import CONFIGURATION_KEY, build_index_key
from skylarkcart.standins._fault_points import FaultPoint
from skylarkcart.standins._faulty_upstream import FaultyUpstream
from skylarkcart.standins._platform import StandinPlatform
from skylarkcart.types import (
    AccountId,
    InstanceId,
    KeyId,
    ListState,
    Role,
    ServiceId,
    SnapshotId,
    UpstreamId,
    ZoneId,
)
from skylarkcart.verdict import RunVerdict

SERVICE = ServiceId("sanctions")
ZONE = ZoneId("near")
SECRET = hashlib.sha256(b"key of the filing bench").hexdigest()
SALT = "00112233445566778899aabbccddeeff"
FLEET_SECRET = "loopback-only-fleet-secret-of-the-bench"
DEADLINE_MS = 300
# Larger than one read from a socket, so that a connection can break within a body.
PADDING = "x" * 300_000
ANSWER_TIMEOUT_S = 5.0
START_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.002

CALLER_FAULT_POINTS = (
    FaultPoint.NONE,
    FaultPoint.BEFORE_HEADERS,
    FaultPoint.IN_BODY,
    FaultPoint.AFTER_BODY,
    FaultPoint.IN_ANSWER_HEADERS,
    FaultPoint.AFTER_ANSWER,
)
CONNECT_FAULT_POINTS = (FaultPoint.CONNECT_REFUSED, FaultPoint.CONNECT_TIMEOUT)


class FilingOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """The outcome of one filing.

    ``verdict`` is the verdict that the caller received first, or None if the caller
    closed its connection. ``runs`` counts the runs on all upstreams, including the
    caller's retry, and ``runs_before_retry`` those before it. ``resent`` counts the
    requests that an upstream received more than once, and ``connections`` the
    connections that the faulty upstream accepted before the retry.
    """

    verdict: RunVerdict | None
    runs: int
    runs_before_retry: int
    resent: int
    connections: int

    @property
    def is_duplicate(self) -> bool:
        return self.runs > 1

    @property
    def is_false_not_run(self) -> bool:
        return self.verdict is RunVerdict.NOT_RUN and self.runs_before_retry > 0


class FilingBench:
    """An entry instance between a caller on a raw connection and two upstreams.

    One upstream is faulty and the other healthy. The faulty one is always tried first,
    so that every filing meets its fault. Example::

        async with FilingBench() as bench:
            await bench.replace_faulty_upstream(FaultPoint.AFTER_BODY)
            outcome = await bench.file(FaultPoint.NONE, reuse_connection=True)
    """

    def __init__(self) -> None:
        self._upstream_point = FaultPoint.NONE
        self._platform = StandinPlatform()
        self._faulty_upstream = _build_upstream("faulty-0", ZONE)
        self._healthy_upstream = _build_upstream("sound", ZONE)
        self._faulty_upstream_count = 0
        self._last_number = 0

    async def __aenter__(self) -> FilingBench:
        await self._platform.start()
        await self._faulty_upstream.start()
        await self._healthy_upstream.start()
        await self._publish()
        settings = Settings(
            instance=InstanceId("entry-0"),
            zone=ZONE,
            address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            platform_url=self._platform.url,
            fleet_secret=FLEET_SECRET,
            linger_ms=0,
            quiet_ms=0,
        )
        self._entry = EntryInstance(settings=settings, seed=1)
        self._entry.state.upstream_directory.choose = self._choose_faulty_first
        await self._entry.start()
        self._publish_list()
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._entry.wait_ready()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._entry.drain_and_stop()
        await self._faulty_upstream.stop()
        await self._healthy_upstream.stop()
        await self._platform.stop()

    async def replace_faulty_upstream(self, point: FaultPoint) -> None:
        """Replaces the faulty upstream by a new one that fails at ``point``."""
        await self._faulty_upstream.stop()
        self._faulty_upstream_count += 1
        self._upstream_point = point
        self._faulty_upstream = _build_upstream(
            f"faulty-{self._faulty_upstream_count}", ZONE
        )
        if point in CONNECT_FAULT_POINTS:
            self._faulty_upstream.fault = point
        await self._faulty_upstream.start()
        self._publish_list()
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self._knows_upstream(self._faulty_upstream):
                await asyncio.sleep(POLL_INTERVAL_S)

    async def file(
        self, caller_point: FaultPoint, *, reuse_connection: bool
    ) -> FilingOutcome:
        """Sends one filing, and retries it once if the verdict is ``not_run``.

        With ``reuse_connection``, an exchange without faults first leaves an idle
        connection between the instance and the faulty upstream.
        """
        accepts_connections = self._upstream_point not in CONNECT_FAULT_POINTS
        if reuse_connection and accepts_connections:
            self._faulty_upstream.fault = FaultPoint.NONE
            await self._send_filing(self._next_number(), FaultPoint.NONE)
        if accepts_connections:
            self._faulty_upstream.fault = self._upstream_point
        number = self._next_number()
        connections = self._faulty_upstream.connections
        arrivals = self._entry.state.lifecycle.arrivals
        verdict = await self._send_filing(number, caller_point)
        if caller_point is not FaultPoint.BEFORE_HEADERS:
            await self._wait_until_idle(arrivals)
        runs_before_retry = self._count_runs(number)
        connections = self._faulty_upstream.connections - connections
        if verdict is RunVerdict.NOT_RUN:
            if accepts_connections:
                self._faulty_upstream.fault = FaultPoint.NONE
            await self._send_filing(number, FaultPoint.NONE)
        return FilingOutcome(
            verdict=verdict,
            runs=self._count_runs(number),
            runs_before_retry=runs_before_retry,
            resent=sum(
                count > 1
                for upstream in (self._faulty_upstream, self._healthy_upstream)
                for count in upstream.requests.values()
            ),
            connections=connections,
        )

    async def _wait_until_idle(self, arrivals: int) -> None:
        """Waits until the instance received one more request and none is running."""
        lifecycle = self._entry.state.lifecycle
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while lifecycle.arrivals == arrivals or lifecycle.running:
                await asyncio.sleep(POLL_INTERVAL_S)

    def _choose_faulty_first(
        self, candidates: Collection[UpstreamId], *, excluded: Collection[UpstreamId]
    ) -> UpstreamId | None:
        by_priority = (self._faulty_upstream.upstream, self._healthy_upstream.upstream)
        eligible = (
            upstream
            for upstream in by_priority
            if upstream in candidates and upstream not in excluded
        )
        return next(eligible, None)

    def _knows_upstream(self, upstream: FaultyUpstream) -> bool:
        directory = self._entry.state.upstream_directory
        return directory.find_address(upstream.upstream) is not None

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _count_runs(self, number: int) -> int:
        return self._faulty_upstream.runs[number] + self._healthy_upstream.runs[number]

    async def _send_filing(self, number: int, point: FaultPoint) -> RunVerdict | None:
        host, _, port = self._entry.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        caller = _Caller(reader=reader, writer=writer)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                return await caller.send(number, point)
        finally:
            writer.transport.abort()

    async def _publish(self) -> None:
        configuration = Configuration(
            revision=1,
            max_instances=1,
            accounts=(
                AccountRow(
                    account=AccountId("a"), rate_per_s=10_000, burst=10_000, share=1
                ),
            ),
            services=(
                ServiceRow(
                    service=SERVICE,
                    slots=4,
                    connections=45,
                    connect_cost_ms=1,
                    answer_by_ms=DEADLINE_MS,
                    deadline_ms=DEADLINE_MS,
                ),
            ),
            # A second zone without an instance would never confirm its part, so there
            # is only one.
            zones=(ZoneRow(zone=ZONE),),
            keys=(
                KeyRow(
                    key_id=KeyId("k"),
                    account=AccountId("a"),
                    salt=SALT,
                    secret_sha256=hash_secret(SALT, SECRET),
                ),
            ),
        )
        snapshot = IndexSnapshot(
            service=SERVICE,
            snapshot=SnapshotId("sanctions@1"),
            sequence=1,
            shards=(),
        )
        await self._platform.publish(
            CONFIGURATION_KEY, msgspec.json.encode(configuration)
        )
        await self._platform.publish(
            build_index_key(SERVICE), msgspec.json.encode(snapshot)
        )

    def _publish_list(self) -> None:
        entry = ListedProcess(
            id=self._entry.settings.instance,
            role=Role.ENTRY,
            zone=ZONE,
            address=self._entry.address,
            peer_address=self._entry.peer_address,
            state=ListState.LIVE,
            incarnation=self._entry.incarnation,
        )
        self._platform.publish_list(
            (
                entry,
                self._faulty_upstream.build_list_entry(),
                self._healthy_upstream.build_list_entry(),
            )
        )


def _build_upstream(name: str, zone: ZoneId) -> FaultyUpstream:
    return FaultyUpstream(upstream=UpstreamId(name), service=SERVICE, zone=zone)


class _Verdict(msgspec.Struct, kw_only=True):
    verdict: RunVerdict


class _Caller:
    """A caller that closes its raw connection at a chosen point."""

    def __init__(
        self, *, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT)

    async def send(self, number: int, point: FaultPoint) -> RunVerdict | None:
        """Returns the verdict received, or None if the caller disconnects first."""
        if point is FaultPoint.BEFORE_HEADERS:
            return None
        body = msgspec.json.encode({"document": {"number": number, "pad": PADDING}})
        self._writer.write(self._build_request_head(len(body)))
        if point is FaultPoint.IN_BODY:
            self._writer.write(body[: len(body) // 2])
            await self._writer.drain()
            return None
        self._writer.write(self._http.send(h11.Data(data=body)) or b"")
        self._writer.write(self._http.send(h11.EndOfMessage()) or b"")
        await self._writer.drain()
        if point is FaultPoint.AFTER_BODY:
            # An abort sends a reset, on which the receiver's kernel discards the data
            # that the instance has not read.
            self._writer.close()
            await self._writer.wait_closed()
            return None
        if point is FaultPoint.IN_ANSWER_HEADERS:
            await self._reader.read(1)
            return None
        return await self._read_verdict()

    def _build_request_head(self, length: int) -> bytes:
        headers = [
            ("Host", "bench"),
            ("Authorization", f"Bearer k.{SECRET}"),
            ("Content-Type", "application/json"),
            ("Content-Length", str(length)),
        ]
        target = f"/v1/services/{SERVICE}/filings"
        request = h11.Request(method="POST", target=target, headers=headers)
        return self._http.send(request) or b""

    async def _read_verdict(self) -> RunVerdict:
        body = bytearray()
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._reader.read(65_536))
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return msgspec.json.decode(bytes(body), type=_Verdict).verdict
