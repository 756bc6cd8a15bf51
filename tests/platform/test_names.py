"""The platform's names stand in its adapter only."""

from __future__ import annotations

import pathlib
import re

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "skylarkcart"
NAMES = re.compile(
    rb"X-Api-Key|Server-Stamp|Part-Stamps|Missing-Parts|Not-Executed|Server-Load"
    rb"|Target-Instance|(?<!X-)Deadline-Ms|kv-(key|range|watch)|coldLeftMs|heartbeatMs"
    rb"|op/config|op/evacuate|nodeName|listenAddrs|revokeMs|minCoverage|topK|waitMs"
    rb"|asOf",
    re.IGNORECASE,
)


def test_names_of_the_platform_stand_in_the_adapter_only() -> None:
    """Names that leak into the product would tie it to one platform."""
    found = [
        f"{path.relative_to(SOURCE)}: {match.group().decode()}"
        for path in SOURCE.rglob("*.py")
        if path.parent != SOURCE / "platform"
        for match in NAMES.finditer(path.read_bytes())
    ]
    assert found == []


def test_names_are_found_where_they_stand() -> None:
    """The check above would pass for ever if its pattern were wrong."""
    adapter = (SOURCE / "platform" / "_names.py").read_bytes()
    assert NAMES.search(adapter)
