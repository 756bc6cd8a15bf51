"""Reports between instances, and the transfer of published state."""

from __future__ import annotations

import asyncio

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.errors import InvalidValueError
from skylarkcart.fleet import (
    REPORT_INTERVAL_MS,
    OwnState,
    Report,
    decode_report,
    encode_report,
)
from skylarkcart.gateway._core import Core
from skylarkcart.registry import Published
from skylarkcart.types import InstanceId

# A transfer of the whole published state between two instances.
TRANSFER_TIMEOUT_S = 1.0

# Older descriptions say nothing of which zones can be reached now.
LOST_ZONES_AGE_MS = 800.0

# Published state arrives from the store's readers; a peer is asked only if it is ahead
# for this long.
TRANSFER_PAUSE_S = 0.05


class PeerLink(asyncio.DatagramProtocol):
    """Sends this instance's reports and hears those of others."""

    def __init__(self, *, core: Core, incarnation: int) -> None:
        self._core = core
        self._incarnation = incarnation
        self._transport: asyncio.DatagramTransport | None = None
        self._known: set[InstanceId] = set()
        self.ahead = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            report = decode_report(data)
        except InvalidValueError as error:
            self._core.log_warning("report_unreadable", detail=str(error))
            return
        self._hear(report)

    def error_received(self, error: OSError) -> None:
        self._core.log.write("report_undelivered", detail=repr(error), limit=5)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            self.send_reports()
            self._watch_peers()
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000.0)

    def send_reports(self) -> None:
        """Starts a round of reports."""
        now = self._core.now
        own = self._describe_own(now)
        for host in self._core.fleet.start_round(now):
            self._send(own, host, now, wants_reply=True)

    def _send(
        self, own: OwnState, host: str, now: Millis, *, wants_reply: bool
    ) -> None:
        report = self._core.fleet.build_report(
            own, to_host=host, now=now, wants_reply=wants_reply
        )
        self._transport.sendto(
            encode_report(report), (host, self._core.settings.peer_port)
        )

    def _describe_own(self, now: Millis) -> OwnState:
        core = self._core
        age_ms = core.registry.get_age_ms(now)
        return OwnState(
            revision=core.registry.revision,
            confirmed_age_ms=-1.0 if age_ms == float("inf") else age_ms,
            is_leaving=core.lifecycle.is_draining,
            reaches_store=core.reaches_store,
            spending=core.quotas.build_report(now),
            slow_calls=core.replicas.list_slow_calls(now),
            lost_zones=core.replicas.list_lost_zones(),
        )

    def _hear(self, report: Report) -> None:
        core = self._core
        now = core.now
        for member in core.fleet.hear(report, now):
            core.quotas.hear(member.instance, member.incarnation, member.spending, now)
            core.replicas.hear_slow_calls(
                member.slow_calls, age_ms=member.age_ms, now=now
            )
            if member.zone == core.settings.zone and member.age_ms <= LOST_ZONES_AGE_MS:
                core.replicas.hear_lost_zones(member.lost_zones, now=now)
        revision = report.sender.revision
        if revision > core.registry.revision:
            self.ahead.set()
        elif report.echo_ms >= 0 and report.confirmed_age_ms >= 0:
            if revision == core.registry.revision:
                # The report was made after the moment that it echoes.
                core.registry.confirm(
                    Millis(min(now, report.echo_ms) - report.confirmed_age_ms)
                )
        if report.wants_reply:
            own = self._describe_own(now)
            self._send(own, report.sender.host, now, wants_reply=False)

    def _watch_peers(self) -> None:
        core = self._core
        now = core.now
        for member in core.fleet.forget_lost(now):
            core.quotas.forget(member.instance, member.incarnation)
            core.log_warning("peer_lost", peer=member.instance, zone=member.zone)
        known = set(core.fleet.peers)
        for instance in known - self._known:
            zone = core.fleet.peers[instance].member.zone
            core.log.write("peer_found", peer=instance, zone=zone)
        self._known = known
        core.quotas.reachable_part = core.fleet.get_reachable_part(now)
        core.metrics.peers.set(len(known))


class StateTransfer:
    """Serves the published state to other instances and asks them for newer state.

    An instance sends its revision as 8 bytes and gets the state in MessagePack, or
    nothing if the other one is not ahead.
    """

    def __init__(self, *, core: Core, link: PeerLink) -> None:
        self._core = core
        self._link = link

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one connection of another instance."""
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                revision = int.from_bytes(await reader.readexactly(8))
                registry = self._core.registry
                if revision < registry.revision:
                    published = registry.build_published(
                        since=revision, now=self._core.now
                    )
                    writer.write(msgspec.msgpack.encode(published))
                    await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._core.log.write("state_not_sent", detail=repr(error), limit=5)
        finally:
            writer.close()

    async def run(self) -> None:
        """Fetches state from peers that are ahead until cancelled."""
        while True:
            await self._link.ahead.wait()
            self._link.ahead.clear()
            await asyncio.sleep(TRANSFER_PAUSE_S * self._core.random.random())
            await self._fetch()

    async def _fetch(self) -> None:
        core = self._core
        for peer in core.fleet.list_ahead(core.registry.revision, core.now)[:2]:
            try:
                async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                    published = await self._ask(peer.host)
            except (OSError, TimeoutError, msgspec.DecodeError) as error:
                core.log.write(
                    "state_not_fetched", peer=peer.instance, detail=repr(error)
                )
                continue
            if published is not None and core.registry.adopt(published, core.now):
                core.log.write(
                    "state_fetched", peer=peer.instance, revision=published.revision
                )
                core.apply_published()
                return

    async def _ask(self, host: str) -> Published | None:
        reader, writer = await asyncio.open_connection(
            host, self._core.settings.peer_port
        )
        try:
            writer.write(self._core.registry.revision.to_bytes(8))
            data = await reader.read(-1)
        finally:
            writer.close()
        if not data:
            return None
        return msgspec.msgpack.decode(data, type=Published)
