"""Prints when callers were refused and when each instance logged its first error.

Usage: ``python -m tests.incidents.run --source PATH --entry port --lead_s 0.5``.
"""

from __future__ import annotations

import asyncio
import collections
import pathlib
import sys
import tempfile

from absl import flags

from tests.incidents.scenario import (
    NESTED_FIELD,
    PORT_WITH_THOUSANDS_OF_DIGITS,
    VALUE_BYTES,
    Outcome,
    play,
)
from tests.soak.processes import SOURCE

ENTRIES = {
    "port": [PORT_WITH_THOUSANDS_OF_DIGITS],
    "nested": [NESTED_FIELD],
    "large": [b"x" * VALUE_BYTES] * 13,
    "none": [],
}

_SOURCE = flags.DEFINE_string("source", str(SOURCE), "Folder of the project's source.")
_ENTRY = flags.DEFINE_enum("entry", "port", list(ENTRIES), "Entry of another writer.")
_LEAD_S = flags.DEFINE_float("lead_s", 0.0, "Time from the entry to the change.")

_STORE_DELAY_S = flags.DEFINE_float(
    "store_delay_s", 0.0, "How much longer the store's responses take."
)


def main() -> int:
    flags.FLAGS(sys.argv)
    with tempfile.TemporaryDirectory(prefix="incident-") as folder:
        outcome = asyncio.run(
            play(
                ENTRIES[_ENTRY.value],
                folder=pathlib.Path(folder),
                source=pathlib.Path(_SOURCE.value).resolve(),
                lead_s=_LEAD_S.value,
                store_delay_s=_STORE_DELAY_S.value,
            )
        )
    for instance, lines in outcome.logs.items():
        print(describe_instance(outcome, instance, lines))
    late = outcome.list_late_refusals()
    statuses = collections.Counter(answer.status for answer in late)
    print(f"not served after the bound: {len(late)}, by status {dict(statuses)}")
    return min(1, len(late))


def describe_instance(outcome: Outcome, instance: str, lines: list[dict]) -> str:
    """Describes an instance in seconds since the change was acknowledged."""
    errors = [
        (line["at_ms"] - outcome.changed_at_ms) / 1_000.0
        for line in lines
        if line["event"] == "internal_error"
    ]
    refused = [
        answer.sent_after_s
        for answer in outcome.answers
        if answer.instance == instance and answer.status != 200
    ]
    first = f"{refused[0]:6.3f}" if refused else "  none"
    times = ", ".join(f"{at:.3f}" for at in errors[:8]) or "none"
    return f"{instance:20} first refusal {first}, {len(refused)} in all; errors {times}"


if __name__ == "__main__":
    sys.exit(main())
