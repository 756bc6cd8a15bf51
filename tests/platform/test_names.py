"""The platform's names are used only in its adapter."""

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


def test_platform_names_are_used_only_in_the_adapter() -> None:
    """Platform names outside the adapter would tie the code to one platform."""
    found = [
        f"{path.relative_to(SOURCE)}: {match.group().decode()}"
        for path in SOURCE.rglob("*.py")
        if path.parent != SOURCE / "platform"
        for match in NAMES.finditer(path.read_bytes())
    ]
    assert found == []


def test_pattern_matches_the_names_in_the_adapter() -> None:
    """With a wrong pattern, the check above would always pass."""
    adapter = (SOURCE / "platform" / "_names.py").read_bytes()
    assert NAMES.search(adapter)
