"""Guards against one published value that keeps all others from taking effect.

A value that can be decoded may still fail where it is put in force. The revision has
then advanced, so that the value is not read again, and nothing else may wait for it.
"""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

from skylarkcart.clock import ManualClock
from skylarkcart.published import StoredItem
from skylarkcart.routing import RouteTable
from tests.gateway.standins import build_configuration
from tests.gateway.test_hostile_messages import apply_items, build_core
from tests.gateway.test_task_errors import read_lines


class FailingTable(RouteTable):
    """Fails for one version of the configuration."""

    def __init__(self, *, configuration, **fields) -> None:
        if configuration.version == 5:
            raise ZeroDivisionError("a fault of the table")
        super().__init__(configuration=configuration, **fields)


def put_configuration(core, version: int, revision: int) -> None:
    data = json.dumps(build_configuration(version)).encode()
    apply_items(core, [StoredItem(key="op/config", revision=revision, value=data)])


def put_upstream(core, name: str, revision: int) -> None:
    entry = {
        "service": "desk",
        "address": "127.0.0.1:9",
        "zone": "zone-b",
        "slots": 1,
        "state": "ready",
        "coldLeftMs": 0,
    }
    data = json.dumps(entry).encode()
    apply_items(
        core, [StoredItem(key=f"servers/{name}", revision=revision, value=data)]
    )


def test_configuration_that_fails_keeps_no_other_change_back(monkeypatch) -> None:
    """Evacuations and new upstreams must take effect, and the next configuration."""
    monkeypatch.setattr("skylarkcart.gateway._core.RouteTable", FailingTable)
    core = build_core(ManualClock())
    put_upstream(core, "i-1", 2)
    put_configuration(core, 5, 3)
    put_upstream(core, "i-2", 4)
    assert set(core.replicas.replicas) == {"i-1", "i-2"}
    apply_items(core, [StoredItem(key="op/evacuate/zone-b", revision=5, value=b"{}")])
    assert not core.replicas.replicas
    assert core.configuration_version == 1
    # The configuration that is not in force may revoke keys.
    assert not core.has_current_keys(core.now)
    (line,) = read_lines(core, "internal_error")
    assert (line["part"], line["version"]) == ("configuration", 5)
    put_configuration(core, 6, 6)
    assert core.configuration_version == 6
    assert core.has_current_keys(core.now)


def test_settings_are_watched_after_an_unforeseen_error(tmp_path) -> None:
    """The file may change without a signal, and the next change must be seen."""
    # A process of its own, as the programs of both tiers define a flag of one name.
    completed = subprocess.run(
        [sys.executable, "-m", "tests.gateway.watch_settings", tmp_path / "settings"],
        cwd=pathlib.Path(__file__).parents[2],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == 0, completed.stderr
    result = json.loads(completed.stdout)
    assert result == {"is_running": True, "read": ["first", "second!"], "errors": 1}
