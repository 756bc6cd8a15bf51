"""Guards against answers whose decoding fails in another way than a malformed one.

JSON that is nested deep raises RecursionError, also in a field that is skipped, and a
number of thousands of digits raises ValueError. Such an answer must count as malformed:
otherwise its search waits until the deadline, its filing ends without a verdict, and a
task that reads the platform fails.
"""

from __future__ import annotations

import aiohttp
import pytest

from skylarkcart.entry._client import UpstreamReply, _read_refusal
from skylarkcart.entry._filings import _build_event
from skylarkcart.entry._upstream_calls import _decode_hits
from skylarkcart.filings import AttemptFailed
from skylarkcart.platform import HttpPlatform, PlatformError
from skylarkcart.search import CallFailed
from skylarkcart.snapshots import SnapshotAgent, SnapshotOutcome
from skylarkcart.types import CallId
from tests.gateway.standins import HOST, HttpStandin

NESTING = 1_500
NESTED = b'{"labels": ' + b"[" * NESTING + b"]" * NESTING + b"}"


def test_nested_search_answer_is_malformed() -> None:
    event = _decode_hits(CallId(1), NESTED)
    assert isinstance(event, CallFailed) and event.reason == "malformed_answer"


def test_nested_filing_answer_is_malformed() -> None:
    event = _build_event(1, UpstreamReply(body=NESTED))
    assert isinstance(event, AttemptFailed) and event.reason == "malformed_answer"


def test_nested_refusal_is_a_refusal() -> None:
    assert _read_refusal(NESTED).reason == "refused"


def test_nested_snapshot_is_invalid() -> None:
    assert SnapshotAgent().offer(NESTED) is SnapshotOutcome.INVALID


@pytest.mark.parametrize("version", ["9" * 5_000, "٣", "x", ""])
async def test_version_that_is_no_number_is_a_platform_error(version: str) -> None:
    class Platform(HttpStandin):
        async def handle(self, method, target, headers, body):
            return b"HTTP/1.1 200 x\r\nContent-Length: 0\r\nX-Version: %b\r\n\r\n" % (
                version.encode()
            )

    standin = Platform()
    await standin.start()
    async with aiohttp.ClientSession() as session:
        platform = HttpPlatform(url=f"http://{HOST}:{standin.port}", session=session)
        with pytest.raises(PlatformError):
            await platform.watch("config", after_version=0, wait_ms=10)
    standin.stop()
