"""``skylarkcart-standin-platform`` serves published values from files.

The path of each file in the directory ``--values`` is a key, such as ``config`` or
``index/SERVICE``, and its content the value. ``--instances`` is a JSON file with the
instance list. Files are read once, at the start.
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
from collections.abc import Sequence

import msgspec
from absl import app, flags

from skylarkcart.declarations import InstanceList
from skylarkcart.standins._platform import StandinPlatform

EXIT_INVALID = 2

_ADDRESS = flags.DEFINE_string("address", "127.0.0.1:8500", "Address to listen on.")
_VALUES = flags.DEFINE_string("values", None, "Directory with one file per key.")
_INSTANCES = flags.DEFINE_string("instances", None, "JSON file with the instance list.")


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


def main(arguments: Sequence[str]) -> None:
    if len(arguments) > 1:
        _exit_invalid(f"unexpected argument {arguments[1]!r}, expected only flags")
    if _VALUES.value is None or not pathlib.Path(_VALUES.value).is_dir():
        _exit_invalid(f"--values is {_VALUES.value!r}, expected a directory")
    try:
        instances = _read_instances()
    except (OSError, msgspec.DecodeError) as error:
        _exit_invalid(f"--instances is {_INSTANCES.value!r}: {error}")
    asyncio.run(_serve(pathlib.Path(_VALUES.value), instances))


def _exit_invalid(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(EXIT_INVALID)


def _read_instances() -> InstanceList:
    if _INSTANCES.value is None:
        return InstanceList(version=1, instances=())
    data = pathlib.Path(_INSTANCES.value).read_bytes()
    return msgspec.json.decode(data, type=InstanceList)


async def _serve(values: pathlib.Path, instances: InstanceList) -> None:
    platform = StandinPlatform(address=_ADDRESS.value)
    await platform.start()
    platform.publish_list(instances.instances)
    for path in sorted(values.rglob("*")):
        if path.is_file():
            key = path.relative_to(values).as_posix()
            await platform.publish(key, path.read_bytes())
    print(f"listening on {platform.url}", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    run()
