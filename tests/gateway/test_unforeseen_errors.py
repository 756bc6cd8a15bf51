"""Guards against one published value that keeps all others from taking effect.

A value that can be decoded may still fail where it is put in force. The revision has
then advanced, so that the value is not read again, and nothing else may wait for it.
"""

from __future__ import annotations

import asyncio
import json

from skylarkcart.clock import ManualClock
from skylarkcart.gateway._instance import GatewayInstance
from skylarkcart.gateway.main import _watch_settings
from skylarkcart.published import StoredItem
from skylarkcart.routing import RouteTable
from tests.gateway.standins import build_configuration
from tests.gateway.test_hostile_messages import apply_items, build_core
from tests.gateway.test_task_errors import read_lines


class FailingTable(RouteTable):
    """Fails for one version of the configuration."""

    def __init__(self, *, configuration, random) -> None:
        if configuration.version == 5:
            raise ZeroDivisionError("a fault of the table")
        super().__init__(configuration=configuration, random=random)


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


async def test_settings_are_watched_after_an_unforeseen_error(
    monkeypatch, tmp_path
) -> None:
    """The file may change without a signal, and the next change must be seen."""
    path = tmp_path / "settings.toml"
    core = build_core(ManualClock())
    reloaded: list[str] = []

    def read(path):
        text = path.read_text()
        reloaded.append(text)
        if text == "first":
            raise ZeroDivisionError("a fault of the decoder")
        return core.settings

    monkeypatch.setattr("skylarkcart.gateway.main.SETTINGS_CHECK_S", 0.01)
    monkeypatch.setattr("skylarkcart.gateway.main.read_machine_settings", read)
    instance = GatewayInstance(settings=core.settings)
    watcher = asyncio.create_task(_watch_settings(path, instance))
    # The watcher notes the version of the file when it starts.
    await asyncio.sleep(0.02)
    for text in ("first", "the second"):
        path.write_text(text)
        await asyncio.sleep(0.1)
    is_running = not watcher.done()
    watcher.cancel()
    assert is_running
    assert reloaded == ["first", "the second"]
    assert len(read_lines(instance._core, "internal_error")) == 1
