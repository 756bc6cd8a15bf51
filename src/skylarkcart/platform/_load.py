"""Decodes the load that upstreams report about themselves."""

from __future__ import annotations

import math

from skylarkcart.exchange import ReportedLoad

# More calls or slots than any upstream has; greater figures are lowered to this.
MAX_CALLS = 100_000

# The fourth figure is a percentage of the usual time. The factor is kept within these
# bounds, so that one report can neither attract all calls nor exclude an upstream.
USUAL_WORK_FIGURE = 100.0
MIN_WORK_FACTOR = 0.1
MAX_WORK_FACTOR = 100.0

# Bytes of an unreadable header that are kept for the log.
MAX_INVALID_BYTES = 80


def parse_load(value: bytes | None) -> tuple[ReportedLoad | None, bytes | None]:
    """Returns the load, or None and the start of a value that can't be read.

    Figures behind the fourth are ignored, as a later version of an upstream may state
    more.

    >>> load, _ = parse_load(b"3,1,4,120")
    >>> load.work_factor
    1.2
    >>> parse_load(b"busy")
    (None, b'busy')
    """
    if value is None:
        return None, None
    figures = value.split(b",")
    try:
        running, waiting, slots = map(int, figures[:3])
        work_factor = _parse_work_factor(figures[3]) if len(figures) > 3 else None
    except ValueError:
        return None, value[:MAX_INVALID_BYTES]
    load = ReportedLoad(
        running=min(max(0, running), MAX_CALLS),
        waiting=min(max(0, waiting), MAX_CALLS),
        slots=min(max(1, slots), MAX_CALLS),
        work_factor=work_factor,
    )
    return load, None


def _parse_work_factor(value: bytes) -> float:
    figure = float(value)
    if not math.isfinite(figure) or figure <= 0:
        raise ValueError(f"{value!r} is no positive number")
    return min(max(MIN_WORK_FACTOR, figure / USUAL_WORK_FIGURE), MAX_WORK_FACTOR)
