"""The era of the store, which all of its responses state in a header."""

from __future__ import annotations

import re
from collections.abc import Sequence

import msgspec

from skylarkcart.types import Era

# More digits would not fit into 64 bits in messages between instances.
_ERA = re.compile("[0-9]{1,18}")
_MAX_TEXT = 80


class StatedEra(msgspec.Struct, frozen=True, kw_only=True):
    """The era in a response, None if there is no usable one, and the header's text."""

    era: Era | None
    text: str


NOT_STATED = StatedEra(era=None, text="")


def decode_era(values: Sequence[bytes]) -> StatedEra:
    """Decodes the values of the header, of which there should be one.

    >>> decode_era([b"7"])
    StatedEra(era=7, text='7')
    >>> decode_era([b" 7 "]).era
    7
    >>> decode_era([b"-7"])
    StatedEra(era=None, text='-7')
    """
    text = b", ".join(value.strip() for value in values).decode("latin-1")
    era = Era(int(text)) if _ERA.fullmatch(text) else None
    return StatedEra(era=era, text=text[:_MAX_TEXT])
