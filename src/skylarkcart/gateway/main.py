"""``skylarkcart-gateway`` runs one gateway instance on the platform.

The path of the settings file comes from the flag ``--settings`` or from the platform's
environment variable.
Exit codes: 0 after a graceful shutdown, 2 when the settings are not valid.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

import msgspec

from skylarkcart.errors import InvalidValueError
from skylarkcart.gateway._command_line import parse_command_line
from skylarkcart.gateway._event_loop import run_event_loop
from skylarkcart.gateway._instance import GatewayInstance
from skylarkcart.platform._machine import read_machine_settings
from skylarkcart.platform._names import SETTINGS_VARIABLE

EXIT_INVALID = 2

# How often the settings file is checked for changes, which may come without a signal.
SETTINGS_CHECK_S = 2.0


def run() -> None:
    """Entry point of the console script."""
    try:
        command_line = parse_command_line(sys.argv)
    except InvalidValueError as error:
        _exit_invalid(str(error))
    path = command_line.settings_path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        _exit_invalid(f"neither --settings nor {SETTINGS_VARIABLE} names a file")
    try:
        settings = read_machine_settings(pathlib.Path(path))
    except InvalidValueError as error:
        _exit_invalid(str(error))
    except ExceptionGroup as group:
        _exit_invalid("\n".join(str(error) for error in group.exceptions))
    if command_line.only_checks:
        print(f"{path}: valid settings of {settings.instance}")
        return
    settings = msgspec.structs.replace(
        settings, spreads_calls=command_line.spreads_calls
    )
    run_event_loop(_serve(pathlib.Path(path), GatewayInstance(settings=settings)))


async def _serve(path: pathlib.Path, instance: GatewayInstance) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, instance)
    await instance.start()
    watcher = loop.create_task(_watch_settings(path, instance))
    await stop.wait()
    watcher.cancel()
    await instance.drain_and_stop()


async def _watch_settings(path: pathlib.Path, instance: GatewayInstance) -> None:
    known_version = _get_file_version(path)
    while True:
        await asyncio.sleep(SETTINGS_CHECK_S)
        version = _get_file_version(path)
        if version != known_version:
            known_version = version
            _reload(path, instance)


def _get_file_version(path: pathlib.Path) -> tuple[int, int] | None:
    try:
        status = path.stat()
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size


def _reload(path: pathlib.Path, instance: GatewayInstance) -> None:
    try:
        settings = read_machine_settings(path)
    except (InvalidValueError, ExceptionGroup) as error:
        instance.log_invalid_settings(str(error))
        return
    except Exception as error:
        # The next change of the file is still to be seen.
        instance.record_settings_error(error)
        return
    instance.reload(settings)


def _exit_invalid(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(EXIT_INVALID)


if __name__ == "__main__":
    run()
