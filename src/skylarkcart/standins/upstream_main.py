"""``skylarkcart-standin-upstream`` serves stand-in upstreams of one service.

It prints the instance list entries of its upstreams as JSON, for use with
``skylarkcart-standin-platform``.
"""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys
from collections.abc import Sequence

import msgspec
from absl import app, flags

from skylarkcart.declarations import IndexSnapshot
from skylarkcart.standins._upstream import StandinUpstream, UpstreamProfile
from skylarkcart.standins._upstream_server import UpstreamServer
from skylarkcart.types import ZoneId

EXIT_INVALID = 2

_SNAPSHOT = flags.DEFINE_string("snapshot", None, "JSON file with an index snapshot.")
_ZONES = flags.DEFINE_list("zones", ["zone-a"], "Zones, assigned in turn.")
_SLOTS = flags.DEFINE_integer("slots", 3, "Concurrent calls.", lower_bound=1)
_SEED = flags.DEFINE_integer("seed", 1, "Seed of the service times.")


def run() -> None:
    """Entry point of the console script."""
    app.run(main)


def main(arguments: Sequence[str]) -> None:
    if len(arguments) > 1:
        _exit_invalid(f"unexpected argument {arguments[1]!r}, expected only flags")
    if _SNAPSHOT.value is None:
        _exit_invalid("flag --snapshot is missing, expected a JSON file")
    try:
        data = pathlib.Path(_SNAPSHOT.value).read_bytes()
        snapshot = msgspec.json.decode(data, type=IndexSnapshot)
    except (OSError, msgspec.DecodeError) as error:
        _exit_invalid(f"--snapshot is {_SNAPSHOT.value!r}: {error}")
    asyncio.run(_serve(snapshot))


def _exit_invalid(message: str) -> None:
    print(message, file=sys.stderr)
    sys.exit(EXIT_INVALID)


async def _serve(snapshot: IndexSnapshot) -> None:
    upstream_ids = sorted(
        {name for shard in snapshot.shards for name in shard.upstreams}
    )
    upstreams = [
        StandinUpstream(
            upstream=name,
            service=snapshot.service,
            zone=ZoneId(_ZONES.value[number % len(_ZONES.value)]),
            profile=UpstreamProfile(slots=_SLOTS.value),
            random=random.Random(f"{_SEED.value}/{name}"),
        )
        for number, name in enumerate(upstream_ids)
    ]
    for upstream in upstreams:
        upstream.load_snapshot(snapshot)
    upstream_server = UpstreamServer(upstreams=upstreams)
    await upstream_server.start()
    print(msgspec.json.encode(upstream_server.list_processes()).decode(), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    run()
