"""Whether a request may have run."""

from __future__ import annotations

import enum


class RunVerdict(enum.Enum):
    """What is known about the execution of a request without a definite result."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"

    @property
    def permits_retry(self) -> bool:
        """Whether the request may be retried, because it certainly did not run."""
        return self is RunVerdict.NOT_RUN
