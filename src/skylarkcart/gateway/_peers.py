"""Reports between instances and transfer of published state."""

from __future__ import annotations

import asyncio

import msgspec

from skylarkcart.budgets import USAGE_PREFIX
from skylarkcart.clock import Millis
from skylarkcart.errors import DECODING_ERRORS, InvalidValueError
from skylarkcart.fleet import (
    REPORT_INTERVAL_MS,
    Member,
    OwnState,
    Report,
    decode_report,
    encode_report,
)
from skylarkcart.gateway._core import Core
from skylarkcart.gateway._kept_state import list_keeping_peers, update_survey
from skylarkcart.gateway._state_request import (
    StateRequest,
    encode_request,
    read_request,
)
from skylarkcart.gateway._usage_exchange import UsageExchange
from skylarkcart.registry import Published
from skylarkcart.types import InstanceId

# Timeout for transferring the whole published state between two instances.
TRANSFER_TIMEOUT_S = 1.0

# Larger states are not accepted from a peer. The store holds values of at most 1 MiB.
MAX_STATE_BYTES = 16 * 1_048_576
TRANSFER_CHUNK_BYTES = 65_536

# Older reports do not show which zones are reachable now.
MAX_UNREACHABLE_ZONES_AGE_MS = 800.0

# Random delay before a transfer from a peer that is ahead, as the same state usually
# arrives from the instances that read the store.
MAX_TRANSFER_DELAY_S = 0.05

MAX_REACH_LINES_PER_SECOND = 2
MAX_LISTED_INSTANCES = 5


class PeerLink(asyncio.DatagramProtocol):
    """Exchanges reports and usage messages with other instances over UDP."""

    def __init__(self, *, core: Core, incarnation: int) -> None:
        self._core = core
        self._usage = UsageExchange(core=core, send=self._send_datagram)
        self._transport: asyncio.DatagramTransport | None = None
        self._known_peers: set[InstanceId] = set()
        self.peer_has_state = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        try:
            if data.startswith(USAGE_PREFIX):
                self._usage.handle_datagram(data)
            else:
                self._handle_report(decode_report(data))
        except InvalidValueError as error:
            self._core.log_warning("report_unreadable", detail=str(error))
        except Exception as error:
            # An error that leaves this method would close the socket.
            self._core.record_error("report", error, peer=address[0])

    def error_received(self, error: OSError) -> None:
        self._core.log.write("report_undelivered", detail=repr(error), limit=5)

    def close(self) -> None:
        if self._transport is not None:
            self._transport.close()

    async def run(self) -> None:
        """Sends reports until cancelled."""
        while True:
            self.run_round()
            await asyncio.sleep(REPORT_INTERVAL_MS / 1000.0)

    def run_round(self) -> None:
        """Sends a round of reports and brings up to date what follows from peers."""
        self._core.survey.begin_round(len(self._core.fleet.peers))
        self.send_reports()
        self._update_peers()
        self._exchange_usage()
        update_survey(self._core)

    def _exchange_usage(self) -> None:
        try:
            self._usage.run_round()
        except Exception as error:
            # Reports must go on.
            self._core.record_error("usage", error)

    def send_reports(self) -> None:
        """Sends one round of reports."""
        now = self._core.now
        own_state = self._build_own_state(now)
        hosts = self._core.fleet.choose_report_targets(
            now, kept_digest=own_state.kept_digest
        )
        for host in hosts:
            self._send(own_state, host, now, wants_reply=True)

    def _send(
        self, own_state: OwnState, host: str, now: Millis, *, wants_reply: bool
    ) -> None:
        report = self._core.fleet.build_report(
            own_state, to_host=host, now=now, wants_reply=wants_reply
        )
        data = encode_report(report, compresses=self._core.fleet.is_in_other_zone(host))
        self._send_datagram(data, host)

    def _send_datagram(self, data: bytes, host: str) -> None:
        self._transport.sendto(data, (host, self._core.settings.peer_port))

    def _build_own_state(self, now: Millis) -> OwnState:
        core = self._core
        age_ms = core.registry.get_age_ms(now)
        return OwnState(
            era=core.registry.era,
            revision=core.registry.revision,
            confirmed_age_ms=-1.0 if age_ms == float("inf") else age_ms,
            is_leaving=core.lifecycle.is_draining,
            reaches_store=core.reaches_store,
            spending=core.quotas.build_report(now),
            slow_calls=core.replicas.list_slow_calls(now),
            lost_zones=core.replicas.list_locally_unreachable_zones(),
            requests_per_s=round(core.get_request_rate(), 2),
            kept_digest=core.registry.compute_kept_digest(now),
            has_surveyed=core.survey.is_complete(core.registry.era),
        )

    def _handle_report(self, report: Report) -> None:
        core = self._core
        now = core.now
        for member in core.fleet.apply_report(report, now):
            core.quotas.apply_peer_spending(
                member.instance, member.incarnation, member.spending, now
            )
            core.replicas.apply_peer_slow_calls(
                member.slow_calls, age_ms=member.age_ms, now=now
            )
            if (
                member.zone == core.settings.zone
                and member.age_ms <= MAX_UNREACHABLE_ZONES_AGE_MS
            ):
                core.replicas.apply_peer_unreachable_zones(member.lost_zones, now=now)
        self._compare_state(report, now)
        self._compare_kept_state(report)
        if report.wants_reply:
            own_state = self._build_own_state(now)
            self._send(own_state, report.sender.host, now, wants_reply=False)

    def _compare_state(self, report: Report, now: Millis) -> None:
        """Asks for the state of a peer that is ahead, or confirms the own one."""
        core = self._core
        if report.sender.position > core.registry.position:
            if core.fleet.list_peers_ahead(core.registry.position, now):
                self.peer_has_state.set()
        elif report.sender.era != core.registry.era:
            # The store may have lost since then what the peer confirms.
            return
        elif report.echo_ms >= 0 and report.confirmed_age_ms >= 0:
            # At the confirmed time, there was no change after the peer's revision, and
            # this instance has all changes up to it. The peer built its report after
            # receiving the one that it echoes.
            core.registry.confirm(
                Millis(min(now, report.echo_ms) - report.confirmed_age_ms)
            )

    def _compare_kept_state(self, report: Report) -> None:
        """Asks for what peers keep from earlier eras if it may be missing here."""
        members = (report.sender, *report.others)
        if any(member.kept_digest > 0 for member in members):
            if list_keeping_peers(self._core):
                self.peer_has_state.set()
        update_survey(self._core)

    def _update_peers(self) -> None:
        core = self._core
        now = core.now
        for member in core.fleet.remove_lost_peers(now):
            core.quotas.remove_process(member.instance, member.incarnation)
            core.log_warning("peer_lost", peer=member.instance, zone=member.zone)
        known_peers = set(core.fleet.peers)
        for instance in known_peers - self._known_peers:
            zone = core.fleet.peers[instance].member.zone
            core.log.write("peer_found", peer=instance, zone=zone)
        self._known_peers = known_peers
        core.update_fleet_share()
        self._update_reach(now)
        core.metrics.peers.set(len(known_peers))

    def _update_reach(self, now: Millis) -> None:
        """Tells the quotas which instances are heard."""
        quotas = self._core.quotas
        previous_fraction = quotas.reachable_fraction
        reach = self._core.fleet.get_reach(now)
        quotas.update_reach(
            reach.fraction,
            silent=reach.silent,
            silent_since=reach.silent_since,
            now=now,
        )
        if quotas.reachable_fraction != previous_fraction:
            self._core.log.write(
                "reach_changed",
                limit=MAX_REACH_LINES_PER_SECOND,
                reachable_part=round(reach.fraction, 2),
                silent=sorted(reach.silent)[:MAX_LISTED_INSTANCES],
                silent_count=len(reach.silent),
            )


class StateTransfer:
    """Serves published state to peers and fetches newer state from them.

    The server responds with its state in MessagePack, or with nothing if its state is
    not newer than the position that the client sends and the client asks for no more.
    """

    def __init__(self, *, core: Core, peer_link: PeerLink) -> None:
        self._core = core
        self._peer_link = peer_link

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles one connection of a peer."""
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                era = self._core.registry.era
                request = await read_request(reader, default_era=era)
                writer.write(self.build_response(request))
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._core.log.write("state_not_sent", detail=repr(error), limit=5)
        finally:
            writer.close()

    def build_response(self, request: StateRequest) -> bytes:
        """Encodes the state that a peer asks for, or nothing."""
        registry, known = self._core.registry, request.position
        if known >= registry.position and not request.wants_kept:
            return b""
        published = registry.build_published(
            since=known.revision,
            era=known.era,
            now=self._core.now,
            includes_kept=request.wants_kept,
        )
        return msgspec.msgpack.encode(published)

    async def run(self) -> None:
        """Fetches state that is missing here from peers until cancelled."""
        while True:
            await self._peer_link.peer_has_state.wait()
            self._peer_link.peer_has_state.clear()
            await asyncio.sleep(MAX_TRANSFER_DELAY_S * self._core.random.random())
            await self.fetch()

    async def fetch(self) -> None:
        """Fetches newer state, and what is kept from earlier eras and missing here."""
        core = self._core
        for peer in core.fleet.list_peers_ahead(core.registry.position, core.now)[:2]:
            if await self._fetch_newer(peer):
                break
        for peer in list_keeping_peers(core)[:2]:
            if await self._fetch_kept(peer):
                break
        update_survey(core)

    async def _fetch_newer(self, peer: Member) -> bool:
        """Fetches the state of a peer that is ahead; returns whether it was newer."""
        core = self._core
        has_news = await self._try_fetch(peer, wants_kept=False)
        if has_news is False:
            core.fleet.record_missing_state(peer.instance, core.now)
            core.log_warning(
                "peer_has_no_newer_state",
                peer=peer.instance,
                stated_era=peer.era,
                stated_revision=peer.revision,
                era=core.registry.era,
                revision=core.registry.revision,
            )
        return bool(has_news)

    async def _fetch_kept(self, peer: Member) -> bool:
        """Fetches what a peer keeps; returns whether all that it stated is known."""
        core = self._core
        if await self._try_fetch(peer, wants_kept=True) is None:
            return False
        if core.registry.lacks_kept(peer.kept_digest, core.now):
            # The process that stated it has ended, or keeps something else now.
            core.fleet.record_missing_state(peer.instance, core.now)
            return False
        return True

    async def _try_fetch(self, peer: Member, *, wants_kept: bool) -> bool | None:
        """Applies the state of a peer and returns whether it brings anything.

        Returns None if the peer can't be asked.
        """
        core = self._core
        requested_at = core.now
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                published = await self._request_state(peer, wants_kept=wants_kept)
        except (OSError, TimeoutError, InvalidValueError) as error:
            core.log.write("state_not_fetched", peer=peer.instance, detail=repr(error))
            return None
        if published is None or not core.registry.adopt(published, core.now):
            return False
        core.registry.confirm_adopted(published, requested_at=requested_at)
        core.log.write(
            "state_fetched",
            peer=peer.instance,
            era=published.era,
            revision=published.revision,
            kept=wants_kept,
        )
        core.apply_published_state()
        return True

    async def _request_state(
        self, peer: Member, *, wants_kept: bool = False
    ) -> Published | None:
        reader, writer = await asyncio.open_connection(
            peer.host, self._core.settings.peer_port
        )
        request = StateRequest(
            position=self._core.registry.position, wants_kept=wants_kept
        )
        try:
            writer.write(encode_request(request, receiver_era=peer.era))
            data = await _read_to_end(reader)
        finally:
            writer.close()
        if not data:
            return None
        return decode_state(data)


def decode_state(data: bytes) -> Published:
    """Decodes the published state that a peer sent.

    Raises:
        InvalidValueError: it is not a state.
    """
    try:
        return msgspec.msgpack.decode(data, type=Published)
    except DECODING_ERRORS as error:
        raise InvalidValueError(
            where="state of a peer", value=data[:40], expected=f"a state: {error}"
        ) from error


async def _read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Reads until the peer closes the connection.

    Raises:
        InvalidValueError: the peer sends more than a state may take.
    """
    data = bytearray()
    while chunk := await reader.read(TRANSFER_CHUNK_BYTES):
        data += chunk
        if len(data) > MAX_STATE_BYTES:
            raise InvalidValueError(
                where="state of a peer",
                value=f"more than {MAX_STATE_BYTES} bytes",
                expected=f"at most {MAX_STATE_BYTES} bytes",
            )
    return bytes(data)
