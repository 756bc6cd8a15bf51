"""The walkthroughs in docs/OPERATIONS.md, from a request id to its cause."""

from __future__ import annotations

import os
import pathlib

import pytest

from skylarkcart.exchange import ReportedLoad
from skylarkcart.explain import LogLine, build_timeline, read_lines
from skylarkcart.types import UpstreamId
from tests.gateway.standins import API_KEY, build_configuration
from tests.gateway.test_room_gate import ask, make_short

OPERATIONS_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"


class InstanceLog:
    """The standard output of the instance under test."""

    def __init__(self, deployment, path: pathlib.Path) -> None:
        self._path = path
        self._log = deployment.instance._core.log
        self._log._output = os.open(path, os.O_CREAT | os.O_WRONLY)

    def explain(self, request: str) -> list[LogLine]:
        self._log.flush()
        with open(self._path, encoding="utf-8") as file:
            timeline = build_timeline(request, read_lines(file))
        assert timeline is not None
        assert request == timeline.request and timeline.render()
        return [line for line in timeline.lines if line.request == request]


@pytest.fixture
def log(deployment, tmp_path: pathlib.Path) -> InstanceLog:
    return InstanceLog(deployment, tmp_path / "log")


def assert_page_mentions(*names: str) -> None:
    text = OPERATIONS_PAGE.read_text()
    missing = [name for name in names if f"`{name}`" not in text]
    assert missing == []


async def test_refused_within_its_rate(deployment, log) -> None:
    """From a 429 to the token bucket and the unreachable part of the fleet."""
    tenants = [{"name": "museum", "apiKeys": [API_KEY], "ratePerS": 1, "burst": 1}]
    await deployment.store.put("op/config", build_configuration(2, tenants=tenants))
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.table.configuration.version == 2)
    async with deployment.open_caller() as caller:
        for number in range(4):
            await caller.send("/read/x", f"r{number}")
    (line,) = log.explain("r3")
    assert line.event == "request_refused"
    assert line.fields["reason"] == "rate_exceeded"
    facts = line.fields["facts"]
    assert facts["account"] == "museum" and facts["tokens"] < 1
    assert facts["rate_per_s"] == 1 and facts["reachable_part"] <= 1
    assert_page_mentions("request_refused", "rate_exceeded", "tokens", "reachable_part")


async def test_answered_with_parts_missing(deployment, log) -> None:
    """From a missing part to the upstreams that were called for it."""
    for name in ("b1", "b2"):
        deployment.upstreams[name].delay_s = 1.5
    async with deployment.open_caller() as caller:
        status, headers, _ = await caller.send("/search/x", "r1")
    assert (status, headers["missing-parts"]) == (200, "1")
    line = log.explain("r1")[-1]
    assert line.event == "request_partial"
    (missing,) = line.fields["missing"]
    assert missing.startswith("shard-2: late at b")
    assert line.fields["hedges"] >= 0
    assert_page_mentions(
        "request_partial", "missing", "hedges", "shards_without_budget"
    )


async def test_failed_and_may_have_run(deployment, log) -> None:
    """From a 502 to the upstream that closed the connection."""

    async def close_without_answer(*_):
        return b""

    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = close_without_answer
    async with deployment.open_caller() as caller:
        caller.write("/file/x", "r1", method="POST")
        assert (await caller.read())[0] == 502
    line = log.explain("r1")[-1]
    assert line.event == "request_failed"
    assert line.fields["verdict"] == "may_have_run"
    (end,) = line.fields["ends"]
    assert end.endswith(": lost")
    assert_page_mentions("request_failed", "verdict", "ends", "lost")


async def test_call_refused_while_others_had_room(deployment, log) -> None:
    """From a refused call to what was believed of the load, and to the metrics."""

    async def refuse(_, __, headers, ___):
        fields = {"Not-Executed": "1", "Server-Load": "4,4,4,100"}
        return 503, {"Request-Id": headers["request-id"]} | fields, b""

    core = deployment.instance._core
    free = ReportedLoad(running=1, waiting=0, slots=4, work_factor=1.0)
    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = refuse
        core.replicas.replicas[UpstreamId(name)].record_load(free, now=core.now)
    async with deployment.open_caller() as caller:
        await caller.send("/read/x", "r1")
    line = log.explain("r1")[0]
    assert line.event == "call_misplaced"
    (sibling,) = line.fields["siblings"]
    assert {line.fields["upstream"], sibling["upstream"]} == {"d1", "d2"}
    assert line.fields["calls"] < line.fields["slots"] == 4
    assert line.fields["age_ms"] >= 0
    metrics = core.metrics.render()
    assert core.replicas.load_statistics.reports >= 3
    assert b"skylarkcart_gateway_load_reports_total" in metrics
    assert b"skylarkcart_gateway_load_misplaced_calls_total 1.0" in metrics
    assert_page_mentions("call_misplaced", "calls", "slots", "age_ms", "siblings")


async def test_unreadable_load_is_counted(deployment, log) -> None:
    """A header that could not be read was dropped, and no load was known."""

    async def answer(_, __, headers, ___):
        request = headers["request-id"]
        fields = {"Server-Stamp": f"{request}.1", "Server-Load": "busy"}
        return 200, {"Request-Id": request} | fields, b"x" * 16

    for name in ("d1", "d2"):
        deployment.upstreams[name].handler = answer
    core = deployment.instance._core
    async with deployment.open_caller() as caller:
        status, _, _ = await caller.send("/read/x", "r1")
    assert status == 200
    metrics = core.metrics.render()
    assert b'upstream_notices_total{notice="invalid_load"} 1.0' in metrics
    assert_page_mentions("load_unreadable", "invalid_load")


def test_lines_of_other_programs_are_skipped() -> None:
    raw_lines = [
        "Traceback (most recent call last):",
        '{"at_ms": 5}',
        '12.5 node-1 {"at_ms":1,"event":"started","instance":"a"}',
        '{"at_ms":2,"event":"request_success","instance":"a","request":"r"',
        '{"at_ms":2,"event":"request_success","instance":"a","request":"r"}',
    ]
    timeline = build_timeline("r", read_lines(raw_lines))
    assert [line.event for line in timeline.lines] == ["started", "request_success"]
    assert build_timeline("other", read_lines(raw_lines)) is None


def test_lines_are_limited_and_omitted_lines_are_counted(tmp_path) -> None:
    """Many refusals must not fill the disk, and omitted lines must be counted."""
    from skylarkcart.clock import ManualClock
    from skylarkcart.gateway._event_log import EventLog

    path = tmp_path / "log"
    clock = ManualClock()
    output = os.open(path, os.O_CREAT | os.O_WRONLY)
    log = EventLog(clock=clock, instance="a", output=output)
    for _ in range(50):
        log.write("request_refused", limit=20)
    clock.advance(1_000)
    log.write("request_success")
    log.flush()
    lines = list(read_lines(path.read_text().splitlines()))
    assert [line.event for line in lines].count("request_refused") == 20
    assert lines[20].fields["counts"] == {"request_refused": 30}


def test_writing_does_not_wait_for_a_reader() -> None:
    """A full pipe must not block the event loop."""
    from skylarkcart.clock import SystemClock
    from skylarkcart.gateway._event_log import EventLog

    reader, writer = os.pipe()
    log = EventLog(clock=SystemClock(), instance="a", output=writer)
    for number in range(5_000):
        log.write(f"event_{number}", detail="x" * 100)
        log.flush()
    assert len(log._lines) <= 2_000
    os.close(reader)
    os.close(writer)


async def test_refused_for_want_of_room(deployment, log) -> None:
    """From a 503 to the wait, its news and the more urgent requests."""
    await make_short(deployment)
    await ask(deployment, "/read/x", 3)
    numbers = [f"/read/x-{number}" for number in range(3)]
    lines = [line for number in numbers for line in log.explain(number)]
    refused = [line for line in lines if line.event == "request_refused"]
    assert refused
    facts = refused[0].fields["facts"]
    assert facts["urgent_priority"] == 0 and facts["room"]["wait_ms"] > 0
    text = refused[0].render(0.0)
    assert "refused: " in text and "news" in text and "priority 0 could wait" in text
    assert_page_mentions(
        "yields_to_more_urgent",
        "no_room_before_deadline",
        "no_room_in_time",
        "returned_before_slot",
        "instance_late",
        "shards_left_out",
        "admission_decided",
        "wait_ms",
        "tolerable_ms",
        "trust",
    )
