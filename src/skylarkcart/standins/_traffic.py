"""Open-loop traffic: requests are sent at their due times.

They do not wait for the responses to earlier requests.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Mapping

import aiohttp
import msgspec

from skylarkcart.search import SearchAnswer
from skylarkcart.types import AccountId, RequestId, ServiceId

HIT_LIMIT = 10
MILLISECONDS_PER_SECOND = 1000.0


class Arrival(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is due ``due_s`` seconds after the start of the traffic."""

    due_s: float
    service: ServiceId
    account: AccountId
    number: int
    is_filing: bool = False
    deadline_ms: int | None = None


class Outcome(msgspec.Struct, kw_only=True):
    """The outcome of one request.

    ``latency_ms`` is measured from the due time, so that it includes stalls before the
    request was sent. If the connection ended without a complete response, ``status`` is
    0 and ``connection_error`` holds the error.
    """

    arrival: Arrival
    address: str
    ended_after_s: float = 0.0
    latency_ms: float = 0.0
    status: int = 0
    connection_error: str = ""
    error: str = ""
    verdict: str = ""
    request_id: RequestId = RequestId("")
    snapshot: str = ""
    covered: int = 0
    missing: int = 0
    total: int = 0

    @property
    def is_answered(self) -> bool:
        return self.status == 200

    @property
    def is_complete(self) -> bool:
        return self.is_answered and self.covered == self.total


class ErrorBody(msgspec.Struct, kw_only=True):
    """The fields of an error response that the traffic reads."""

    error: str
    verdict: str


class ReceiptBody(msgspec.Struct, kw_only=True):
    """The fields of a filing's response that the traffic reads."""

    request_id: RequestId
    verdict: str


class OpenLoopTraffic:
    """Sends each arrival to the address that ``choose_address`` returns.

    Connections are kept alive, as callers behind a load balancer do. ``keys`` maps an
    account to its bearer token. ``on_outcome`` is called with each outcome.
    """

    def __init__(
        self,
        *,
        keys: Mapping[AccountId, str],
        choose_address: Callable[[Arrival], str],
        on_outcome: Callable[[Outcome], None] | None = None,
    ) -> None:
        self.sent = 0
        self.outcomes: list[Outcome] = []
        self.started_at = 0.0
        self._keys = keys
        self._choose_address = choose_address
        self._on_outcome = on_outcome

    async def run(self, arrivals: Iterable[Arrival]) -> list[Outcome]:
        """Sends all arrivals and waits for every outcome."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self.started_at = time.monotonic()
            async with asyncio.TaskGroup() as group:
                for arrival in arrivals:
                    due_at = self.started_at + arrival.due_s
                    await asyncio.sleep(max(0.0, due_at - time.monotonic()))
                    group.create_task(self._send(session, arrival))
                    self.sent += 1
        return self.outcomes

    async def _send(self, session: aiohttp.ClientSession, arrival: Arrival) -> None:
        outcome = Outcome(arrival=arrival, address=self._choose_address(arrival))
        try:
            data = await self._post(session, outcome)
        except (aiohttp.ClientError, OSError) as error:
            outcome.connection_error = repr(error)
            data = b""
        outcome.ended_after_s = time.monotonic() - self.started_at
        outcome.latency_ms = (
            outcome.ended_after_s - arrival.due_s
        ) * MILLISECONDS_PER_SECOND
        if not outcome.connection_error:
            _decode_body(outcome, data)
        self.outcomes.append(outcome)
        if self._on_outcome is not None:
            self._on_outcome(outcome)

    async def _post(self, session: aiohttp.ClientSession, outcome: Outcome) -> bytes:
        arrival = outcome.arrival
        path = "filings" if arrival.is_filing else "search"
        url = f"http://{outcome.address}/v1/services/{arrival.service}/{path}"
        headers = {"Authorization": f"Bearer {self._keys[arrival.account]}"}
        if arrival.deadline_ms is not None:
            headers["X-Deadline-Ms"] = str(arrival.deadline_ms)
        body: dict[str, object] = {"query": f"q{arrival.number}", "limit": HIT_LIMIT}
        if arrival.is_filing:
            headers["Idempotency-Key"] = f"filing-{arrival.number}"
            body = {"document": {"number": arrival.number}}
        async with session.post(url, json=body, headers=headers) as response:
            data = await response.read()
            outcome.status = response.status
            return data


def _decode_body(outcome: Outcome, data: bytes) -> None:
    if not outcome.is_answered:
        failure = msgspec.json.decode(data, type=ErrorBody)
        outcome.error = failure.error
        outcome.verdict = failure.verdict
        return
    if outcome.arrival.is_filing:
        receipt = msgspec.json.decode(data, type=ReceiptBody)
        outcome.request_id = receipt.request_id
        outcome.verdict = receipt.verdict
        return
    answer = msgspec.json.decode(data, type=SearchAnswer)
    outcome.request_id = answer.request_id
    outcome.snapshot = answer.snapshot
    outcome.covered = answer.coverage.covered
    outcome.missing = len(answer.coverage.missing)
    outcome.total = answer.coverage.total
