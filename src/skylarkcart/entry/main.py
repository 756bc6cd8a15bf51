"""Command ``skylarkcart-entry --settings FILE``, which runs one entry instance.

Exit codes: 0 after a graceful shutdown; 2 if the arguments or settings are invalid or
an address can't be used.
"""

from __future__ import annotations

import asyncio
import pathlib
import signal
import sys
from collections.abc import Sequence

from absl import app, flags, logging

from skylarkcart.entry._instance import EntryInstance
from skylarkcart.entry._settings import Settings, read_settings
from skylarkcart.errors import InvalidValueError

EXIT_INVALID = 2

_SETTINGS = flags.DEFINE_string("settings", None, "Path of the TOML settings file.")


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


def main(arguments: Sequence[str]) -> None:
    if len(arguments) > 1:
        _exit_invalid(f"unexpected argument {arguments[1]!r}, expected only flags")
    if _SETTINGS.value is None:
        _exit_invalid("flag --settings is missing, expected the path of a TOML file")
    try:
        settings = read_settings(pathlib.Path(_SETTINGS.value))
    except InvalidValueError as error:
        _exit_invalid(str(error))
    except ExceptionGroup as group:
        _exit_invalid("\n".join(str(error) for error in group.exceptions))
    logging.set_verbosity(settings.log_level.value)
    try:
        asyncio.run(_serve(settings))
    except OSError as error:
        _exit_invalid(f"address {settings.address!r} can't be used: {error}")


def _exit_invalid(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(EXIT_INVALID)


async def _serve(settings: Settings) -> None:
    instance = EntryInstance(settings=settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    await instance.start()
    await stop.wait()
    await instance.drain_and_stop()


if __name__ == "__main__":
    run()
