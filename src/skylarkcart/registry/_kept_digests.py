"""Digests of what instances keep from earlier eras of the store."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from skylarkcart.registry._messages import Departure, KeptConfiguration, KeptZone

NOTHING_KEPT = 0


class KeptDigests:
    """The digests whose state is known here, in the store's current era.

    Instances state the digest of what they keep. A digest that is not known shows that
    a peer keeps something that may be missing here.
    """

    def __init__(self) -> None:
        self._known = {NOTHING_KEPT}

    def begin_era(self) -> None:
        """Forgets all digests, as those of another era say nothing of this one."""
        self._known = {NOTHING_KEPT}

    def add(self, digest: int) -> None:
        self._known.add(digest)

    def knows(self, digest: int) -> bool:
        return digest in self._known


def compute_digest(
    configuration: KeptConfiguration | None,
    zones: Iterable[KeptZone],
    withheld: Iterable[Departure],
) -> int:
    """Returns a digest above 0, or 0 if nothing is kept.

    The times that are left don't count, since they differ between instances.
    """
    version = None if configuration is None else configuration.configuration.version
    zone_names = sorted(kept.zone for kept in zones)
    departures = sorted(
        (departure.upstream, -1 if departure.born_ms is None else departure.born_ms)
        for departure in withheld
    )
    if version is None and not zone_names and not departures:
        return NOTHING_KEPT
    return 1 + zlib.crc32(msgspec.msgpack.encode((version, zone_names, departures)))
