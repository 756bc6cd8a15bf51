"""Watches a settings file whose first version fails to decode, and prints what it saw.

Usage: ``python -m tests.gateway.watch_settings FILE``.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import sys

from skylarkcart.clock import ManualClock
from skylarkcart.gateway import main as gateway_main
from skylarkcart.gateway._instance import GatewayInstance
from skylarkcart.gateway_settings import GatewaySettings
from tests.gateway.test_hostile_messages import build_core
from tests.gateway.test_task_errors import read_lines

# Different sizes, so that each version differs also within one tick of the file's time.
VERSIONS = ("first", "second!")
CHECK_INTERVAL_S = 0.01


async def watch(path: pathlib.Path) -> dict[str, object]:
    settings = build_core(ManualClock()).settings
    texts: list[str] = []

    def read(path: pathlib.Path) -> GatewaySettings:
        texts.append(path.read_text())
        if len(texts) == 1:
            raise ZeroDivisionError("a fault of the decoder")
        return settings

    gateway_main.SETTINGS_CHECK_S = CHECK_INTERVAL_S
    gateway_main.read_machine_settings = read
    instance = GatewayInstance(settings=settings)
    watcher = asyncio.create_task(gateway_main._watch_settings(path, instance))
    # The watcher notes the version of the file when it starts.
    await asyncio.sleep(2 * CHECK_INTERVAL_S)
    for text in VERSIONS:
        path.write_text(text)
        await asyncio.sleep(20 * CHECK_INTERVAL_S)
    is_running = not watcher.done()
    watcher.cancel()
    errors = read_lines(instance._core, "internal_error")
    return {"is_running": is_running, "read": texts, "errors": len(errors)}


if __name__ == "__main__":
    print(json.dumps(asyncio.run(watch(pathlib.Path(sys.argv[1])))))
