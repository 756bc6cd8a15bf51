"""Guards against entries of other writers that keep a route from being served.

In the operators' runs of arbolado-mzl, all instances refused an added route as unknown
for as long as an entry existed that ended the task that reads the store.
"""

from __future__ import annotations

import pathlib

import pytest

from tests.incidents.scenario import (
    NESTED_FIELD,
    PORT_WITH_THOUSANDS_OF_DIGITS,
    VALUE_BYTES,
    play,
)

ENTRIES = {
    "errors of the record": [PORT_WITH_THOUSANDS_OF_DIGITS, NESTED_FIELD],
    "more bytes than a response": [b"x" * VALUE_BYTES] * 13,
}


@pytest.mark.parametrize("entries", ENTRIES.values(), ids=ENTRIES)
async def test_added_route_is_served_at_all_instances(
    entries: list[bytes], tmp_path: pathlib.Path
) -> None:
    outcome = await play(entries, folder=tmp_path)
    assert outcome.list_late_refusals() == []
    events = [line["event"] for lines in outcome.logs.values() for line in lines]
    assert "internal_error" not in events
    # The readers have met the entries.
    assert events.count("entry_unreadable") >= len(entries)
