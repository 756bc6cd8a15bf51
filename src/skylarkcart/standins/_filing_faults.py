"""Faults injected into the HTTP exchange of a filing."""

from __future__ import annotations

import collections
import enum


class FilingFault(enum.Enum):
    """How the exchange of a filing fails, from before the run to the response."""

    NONE = "none"
    REFUSED_NOT_RUN = "refused_not_run"
    RESET_BEFORE_RUN = "reset_before_run"
    RUN_THEN_RESET = "run_then_reset"
    RUN_THEN_TRUNCATED = "run_then_truncated"
    RUN_THEN_LATE = "run_then_late"
    RUN_THEN_ERROR = "run_then_error"
    RUN_THEN_UNMARKED_REFUSAL = "run_then_unmarked_refusal"
    RUN_THEN_MALFORMED = "run_then_malformed"
    RUN_THEN_OTHER_REQUEST = "run_then_other_request"

    @property
    def runs(self) -> bool:
        """Whether the filing runs before the exchange fails."""
        return self not in (
            FilingFault.REFUSED_NOT_RUN,
            FilingFault.RESET_BEFORE_RUN,
        )


class FilingFaults:
    """A queue with one fault for each of the next attempts; later attempts succeed."""

    def __init__(self) -> None:
        self.late_ms = 0.0
        self._planned: collections.deque[FilingFault] = collections.deque()

    def plan(self, *faults: FilingFault, late_ms: float = 0.0) -> None:
        """Replaces the queued faults. ``late_ms`` is the delay of ``RUN_THEN_LATE``."""
        self._planned = collections.deque(faults)
        self.late_ms = late_ms

    def pop_next(self) -> FilingFault:
        return self._planned.popleft() if self._planned else FilingFault.NONE
