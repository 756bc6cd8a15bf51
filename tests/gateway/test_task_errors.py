"""Guards against errors of background tasks whose cause the log can't tell.

After an incident, an entry that stopped the reading of the store could not be told from
a store that answered late: the lines did not say how often a task had failed in a row,
how long a call took, or which configuration was in force.
"""

from __future__ import annotations

import json

from skylarkcart.clock import ManualClock
from tests.gateway.test_hostile_messages import build_core


def read_lines(core, event: str) -> list[dict]:
    lines = [json.loads(line) for line in core.log._lines]
    return [line for line in lines if line["event"] == event]


def test_error_line_counts_failures_in_a_row() -> None:
    core = build_core(ManualClock())
    for _ in range(3):
        core.record_task_error("store_reader", ValueError("more than 4,300 digits"))
    lines = read_lines(core, "internal_error")
    assert [line["failures"] for line in lines] == [1, 2, 3]
    assert [line["restart_in_ms"] for line in lines] == [100, 200, 400]


async def test_reader_states_its_revision_and_the_time_of_the_call(
    deployment, monkeypatch
) -> None:
    core = deployment.instance._core
    core.log.stop()
    revision = core.registry.revision

    def fail(items, *, on_error):
        raise ZeroDivisionError("a fault of the decoder")

    monkeypatch.setattr("skylarkcart.gateway._reader.decode_items", fail)
    await deployment.store.put("servers/i-odd", b"")
    await deployment.wait_for(lambda: len(read_lines(core, "internal_error")) >= 2)
    first, second = read_lines(core, "internal_error")[:2]
    for line in (first, second):
        (note,) = line["notes"]
        assert note.startswith(f"read after revision {revision} for ")
    assert (first["failures"], second["failures"]) == (1, 2)


async def test_refusal_states_the_configuration_in_force(deployment) -> None:
    core = deployment.instance._core
    core.log.stop()
    async with deployment.open_caller() as caller:
        status, _, _ = await caller.send("/added/x", "r1")
    assert status == 404
    (line,) = read_lines(core, "request_refused")
    assert line["configuration_version"] == 1
    # The gauge is set at the next round of maintenance.
    await deployment.wait_for(
        lambda: b"configuration_version 1.0" in core.metrics.render()
    )
