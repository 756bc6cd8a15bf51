"""Encoding of a request for the published state of another instance.

A build that knows no eras sends and reads the revision of its state as 8 bytes. If the
highest bit is set, 8 bytes with the era follow. A number below all eras stands for an
era and asks also for what the receiver keeps from earlier ones, even if it has no newer
state; a build that doesn't know this sends its whole state.
"""

from __future__ import annotations

import asyncio

import msgspec

from skylarkcart.types import NO_ERA, Era, StatePosition

_NUMBER_BYTES = 8
_HAS_ERA = 1 << 63

# An era N is sent as -2 - N to ask for what is kept, since -1 is NO_ERA.
_KEPT_OFFSET = -2
# Only a peer that is in error states a later era.
_MAX_ERA = (1 << 63) - 2


class StateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The position of the state that an instance knows, and what it asks for."""

    position: StatePosition
    wants_kept: bool = False


def encode_request(request: StateRequest, *, receiver_era: Era) -> bytes:
    """Encodes a request to a peer that states an era, or none.

    >>> request = StateRequest(position=StatePosition(Era(2), 7))
    >>> encode_request(request, receiver_era=NO_ERA).hex()
    '0000000000000007'
    >>> encode_request(request, receiver_era=Era(3)).hex()
    '80000000000000070000000000000002'
    """
    position = request.position
    if receiver_era == NO_ERA:
        return position.revision.to_bytes(_NUMBER_BYTES)
    revision = (position.revision | _HAS_ERA).to_bytes(_NUMBER_BYTES)
    era = int(position.era)
    if request.wants_kept and NO_ERA < era <= _MAX_ERA:
        era = _KEPT_OFFSET - era
    return revision + era.to_bytes(_NUMBER_BYTES, signed=True)


async def read_request(
    reader: asyncio.StreamReader, *, default_era: Era
) -> StateRequest:
    """Reads a request; a build that states no era is taken to be in the default one.

    It can't order state by eras, and gets what follows its revision.
    """
    revision = int.from_bytes(await reader.readexactly(_NUMBER_BYTES))
    if not revision & _HAS_ERA:
        return StateRequest(position=StatePosition(default_era, revision))
    era = int.from_bytes(await reader.readexactly(_NUMBER_BYTES), signed=True)
    wants_kept = era < NO_ERA
    if wants_kept:
        era = _KEPT_OFFSET - era
    return StateRequest(
        position=StatePosition(Era(era), revision & ~_HAS_ERA), wants_kept=wants_kept
    )
