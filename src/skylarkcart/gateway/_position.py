"""Encoding of the position of published state in a request to another instance.

A build that knows no eras sends and reads the revision as 8 bytes. If the highest bit
is set, 8 bytes with the era follow.
"""

from __future__ import annotations

import asyncio

from skylarkcart.types import NO_ERA, Era, StatePosition

_NUMBER_BYTES = 8
_HAS_ERA = 1 << 63


def encode_position(position: StatePosition, *, receiver_era: Era) -> bytes:
    """Encodes a position for a peer that states an era, or none.

    >>> encode_position(StatePosition(Era(2), 7), receiver_era=NO_ERA).hex()
    '0000000000000007'
    >>> encode_position(StatePosition(Era(2), 7), receiver_era=Era(3)).hex()
    '80000000000000070000000000000002'
    """
    if receiver_era == NO_ERA:
        return position.revision.to_bytes(_NUMBER_BYTES)
    revision = (position.revision | _HAS_ERA).to_bytes(_NUMBER_BYTES)
    return revision + position.era.to_bytes(_NUMBER_BYTES, signed=True)


async def read_position(
    reader: asyncio.StreamReader, *, default_era: Era
) -> StatePosition:
    """Reads a position; a build that states no era is taken to be in the default one.

    It can't order state by eras, and gets what follows its revision.
    """
    revision = int.from_bytes(await reader.readexactly(_NUMBER_BYTES))
    if not revision & _HAS_ERA:
        return StatePosition(default_era, revision)
    era = int.from_bytes(await reader.readexactly(_NUMBER_BYTES), signed=True)
    return StatePosition(Era(era), revision & ~_HAS_ERA)
