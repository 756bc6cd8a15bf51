"""Exchange of signed message batches between instances.

``POST /peer/v1/exchange`` on the peer address takes a batch of messages and returns a
batch of replies. A batch names its recipient, so that a batch captured on its way to
another instance is refused. All messages tolerate loss, duplication and reordering.
"""

from __future__ import annotations

import asyncio
import functools
import hashlib
import hmac
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Any

import aiohttp
import msgspec
from blacksheep import Application, Content, Request, Response, Router

from skylarkcart.clock import Clock, Millis
from skylarkcart.entry import http_server
from skylarkcart.entry._background_tasks import BackgroundTasks
from skylarkcart.entry._connections import CheckedResponse
from skylarkcart.entry._fleet import PEER_MESSAGE_TYPES, FleetAgent, PeerMessage
from skylarkcart.entry._logging import log_warning
from skylarkcart.entry._metrics import Metrics
from skylarkcart.errors import DECODING_ERRORS
from skylarkcart.membership import MemberHeartbeat
from skylarkcart.types import InstanceId

EXCHANGE_PATH = "/peer/v1/exchange"
SIGNATURE_HEADER = "X-Signature"
MAX_BATCH_BYTES = 4_000_000
EXCHANGE_TIMEOUT_S = 1.0
TICK_INTERVAL_S = 0.05


class PeerExchange:
    """Sends and receives the message batches of an instance.

    While ``is_isolated`` is set, no batch is sent or accepted. Tests use it to simulate
    network partitions.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        fleet_secret: str,
        clock: Clock,
        fleet: FleetAgent,
        metrics: Metrics,
    ) -> None:
        self.is_isolated = False
        self._instance = instance
        self._secret = fleet_secret.encode()
        self._clock = clock
        self._fleet = fleet
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()
        self._session: aiohttp.ClientSession | None = None
        self._background = BackgroundTasks(clock=clock, metrics=metrics)
        self._batch_received = asyncio.Event()

    def build_application(self) -> Application:
        router = Router()
        http_server.add_route(router, "POST", EXCHANGE_PATH, self._receive)
        return Application(router=router)

    async def start(self) -> None:
        timeout = aiohttp.ClientTimeout(total=EXCHANGE_TIMEOUT_S)
        self._session = aiohttp.ClientSession(
            timeout=timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            response_class=CheckedResponse,
        )
        self._background.start("peers", self._tick)

    async def stop(self) -> None:
        await self._background.stop()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def send(self, peer_messages: Iterable[PeerMessage]) -> None:
        """Sends messages in the background, in one batch for each recipient.

        The messages of a failed exchange are lost.
        """
        batches: dict[_Recipient, list[msgspec.Struct]] = defaultdict(list)
        for peer_message in peer_messages:
            recipient = _Recipient(
                instance=peer_message.to,
                address=self._find_address(peer_message),
            )
            batches[recipient].append(peer_message.message)
        for recipient, messages in batches.items():
            task = asyncio.create_task(self._send_batch(recipient, messages))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def flush(self) -> None:
        """Waits for the exchanges in progress."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=EXCHANGE_TIMEOUT_S)

    async def wait_for_batch(self, wait_ms: float) -> None:
        """Returns when a batch arrives, or after ``wait_ms`` without one."""
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._batch_received.wait()
        except TimeoutError:
            return

    def _find_address(self, peer_message: PeerMessage) -> str | None:
        if peer_message.address is not None or peer_message.to is None:
            return peer_message.address
        return self._fleet.find_address(peer_message.to, self._clock.now())

    async def _tick(self) -> None:
        while True:
            self.send(self._fleet.tick(self._clock.now()))
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _send_batch(
        self, recipient: _Recipient, messages: Sequence[msgspec.Struct]
    ) -> None:
        if recipient.address is None or self.is_isolated or self._session is None:
            return
        asked_at = self._clock.now()
        body = self._encode(recipient.instance, messages)
        headers = {SIGNATURE_HEADER: self._sign(body)}
        try:
            async with self._session.post(
                f"http://{recipient.address}{EXCHANGE_PATH}",
                data=body,
                headers=headers,
                allow_redirects=False,
            ) as response:
                reply = await response.content.read(MAX_BATCH_BYTES)
                signature = response.headers.get(SIGNATURE_HEADER, "")
                if response.status != 200 or not self._has_valid_signature(
                    reply, signature
                ):
                    return
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
            return
        batch = self._decode(reply)
        if batch is not None:
            self.send(self._handle_batch(batch, asked_at))

    async def _receive(self, request: Request) -> Response:
        if self.is_isolated:
            return Response(503)
        body = await _read_limited(request)
        signature = request.get_first_header(SIGNATURE_HEADER.lower().encode()) or b""
        if body is None or not self._has_valid_signature(
            body, signature.decode("latin-1")
        ):
            return Response(403)
        batch = self._decode(body)
        if batch is None:
            return Response(400)
        peer_messages = self._handle_batch(batch, None)
        replies = [item.message for item in peer_messages if item.to == batch.sender]
        if any(isinstance(message, MemberHeartbeat) for message in batch.messages):
            replies.extend(
                self._fleet.build_heartbeat_reply(batch.sender, self._clock.now())
            )
        self.send(item for item in peer_messages if item.to != batch.sender)
        reply = self._encode(batch.sender, replies)
        headers = [(SIGNATURE_HEADER.encode(), self._sign(reply).encode())]
        return Response(200, headers, Content(b"application/json", reply))

    def _handle_batch(self, batch: Any, asked_at: Millis | None) -> list[PeerMessage]:
        peer_messages: list[PeerMessage] = []
        for message in batch.messages:
            now = self._clock.now()
            try:
                peer_messages.extend(
                    self._fleet.handle(batch.sender, message, now, asked_at=asked_at)
                )
            except Exception as error:
                # The other messages of the batch are still to be handled.
                self._metrics.task_failures.labels("peer_message").inc()
                log_warning(
                    "peer_message_failed",
                    sender=batch.sender,
                    message=type(message).__name__,
                    error=repr(error),
                )
        self._batch_received.set()
        self._batch_received.clear()
        return peer_messages

    def _encode(
        self, recipient: InstanceId | None, messages: Sequence[msgspec.Struct]
    ) -> bytes:
        body = msgspec.json.encode(
            _OutgoingBatch(
                sender=self._instance,
                recipient=recipient or InstanceId(""),
                messages=tuple(messages),
            )
        )
        self._metrics.peer_bytes.labels("sent").inc(len(body))
        return body

    def _decode(self, body: bytes) -> Any | None:
        self._metrics.peer_bytes.labels("received").inc(len(body))
        try:
            batch = _get_decoder().decode(body)
        except DECODING_ERRORS as error:
            log_warning("peer_batch_rejected", reason=str(error))
            return None
        # The first batch to a seed address has no recipient: its instance id is not
        # yet known.
        return batch if batch.recipient in (self._instance, "") else None

    def _sign(self, body: bytes) -> str:
        return hmac.new(self._secret, body, hashlib.sha256).hexdigest()

    def _has_valid_signature(self, body: bytes, signature: str) -> bool:
        expected = self._sign(body).encode()
        return hmac.compare_digest(expected, signature.encode("utf-8", "replace"))


class _Recipient(msgspec.Struct, frozen=True, kw_only=True):
    instance: InstanceId | None
    address: str | None


class _OutgoingBatch(msgspec.Struct, kw_only=True):
    sender: InstanceId
    recipient: InstanceId
    messages: tuple[msgspec.Struct, ...]


@functools.cache
def _get_decoder() -> msgspec.json.Decoder:
    union = functools.reduce(lambda left, right: left | right, PEER_MESSAGE_TYPES)
    fields = [
        ("sender", InstanceId),
        ("recipient", InstanceId),
        ("messages", tuple[union, ...]),
    ]
    return msgspec.json.Decoder(
        msgspec.defstruct("IncomingBatch", fields, kw_only=True)
    )


async def _read_limited(request: Request) -> bytes | None:
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BATCH_BYTES:
            return None
    return bytes(body)
