"""Whether a service is short of room, from reports that may be old or wrong."""

from __future__ import annotations

from skylarkcart.admission._bias import WaitBias
from skylarkcart.admission._messages import Room
from skylarkcart.clock import Millis

# Older reports are not believed at all; a caller loses more by a false refusal than by
# a slow answer.
MAX_NEWS_AGE_MS = 1_000.0

# Time in which the number of full reports decays to half of its value.
FULL_REPORTS_HALF_LIFE_MS = 500.0

# A single full report may show a short pause of one upstream.
MIN_FULL_REPORTS = 1.5

# A report with free slots outweighs this part of the full ones before it.
FREE_REPORT_FACTOR = 0.7

# An answer that takes less than its work and this part of the announced wait shows that
# the wait was announced wrongly.
PROMPT_WAIT_RATIO = 0.25
MIN_ANNOUNCED_WAIT_MS = 5.0

# An announced wait is compared only with calls that began right after it.
MAX_ANNOUNCEMENT_AGE_MS = 50.0

# Change of the trust by one answer. A wrong report costs more trust than a right one
# restores.
TRUST_LOSS_FACTOR = 0.67
TRUST_GAIN = 0.1
MIN_TRUST = 0.5

# A service is short while the believed wait is above the first ratio of the wait that
# urgent requests tolerate, until it has been below the second one for some time.
ENTER_RATIO = 0.5
LEAVE_RATIO = 0.25
LEAVE_AFTER_MS = 150.0


class ServiceEvidence:
    """Reports about one service, and whether it is short of room.

    >>> evidence = ServiceEvidence()
    >>> evidence.record_report(is_full=True, now=Millis(0))
    >>> evidence.record_report(is_full=True, now=Millis(10))
    >>> evidence.is_suspect(Millis(500))
    True
    """

    def __init__(self, *, bias: WaitBias | None = None) -> None:
        # Shared by the services that are called together.
        self._bias = bias or WaitBias()
        self.trust = 1.0
        self.is_short = False
        # Of the latest decision.
        self.believed_wait_ms = 0.0
        self._full_reports = 0.0
        self._counted_at = Millis(0.0)
        self._last_full_at = Millis(float("-inf"))
        self._announced_wait_ms = 0.0
        self._announced_at = Millis(float("-inf"))
        self._below_since: Millis | None = None

    def record_report(self, *, is_full: bool, now: Millis) -> None:
        """Records whether an upstream of the service reported to have no free slot."""
        if is_full and not self.is_suspect(now):
            # What was decided on reports that are too old now proves nothing.
            self.is_short = False
            self.believed_wait_ms = 0.0
            self._below_since = None
        reports = self.count_full_reports(now)
        self._counted_at = now
        if is_full:
            self._full_reports = reports + 1.0
            self._last_full_at = now
        else:
            self._full_reports = reports * FREE_REPORT_FACTOR

    def record_answer(
        self, *, started_at: Millis, elapsed_ms: float, work_ms: float
    ) -> None:
        """Compares the time of an answered call with the wait that was announced."""
        announced_ms = self._announced_wait_ms
        announcement_age_ms = started_at - self._announced_at
        if (
            announced_ms < MIN_ANNOUNCED_WAIT_MS
            or not 0.0 <= announcement_age_ms <= MAX_ANNOUNCEMENT_AGE_MS
        ):
            return
        self._bias.record(
            estimated_ms=announced_ms, actual_ms=max(0.0, elapsed_ms - work_ms)
        )
        if elapsed_ms < work_ms + PROMPT_WAIT_RATIO * announced_ms:
            self.trust *= TRUST_LOSS_FACTOR
        else:
            self.trust += TRUST_GAIN * (1.0 - self.trust)

    def count_full_reports(self, now: Millis) -> float:
        """Returns the decayed number of reports that showed the service full."""
        if not self._full_reports:
            return 0.0
        age_ms = now - self._counted_at
        return self._full_reports * 0.5 ** (age_ms / FULL_REPORTS_HALF_LIFE_MS)

    def is_suspect(self, now: Millis) -> bool:
        """Whether the service was reported to be full a short time ago."""
        return now - self._last_full_at <= MAX_NEWS_AGE_MS

    def update(
        self, room: Room | None, *, tolerable_ms: float, is_proven: bool, now: Millis
    ) -> float:
        """Returns the believed wait in ms, which is 0 unless the service is short.

        ``tolerable_ms`` is the wait that the most urgent recent requests tolerate.
        ``is_proven`` holds if enough reports of other services show the same shortage.
        """
        self._announced_at = now
        wait_ms = self.believed_wait_ms = self._estimate_believed_wait_ms(room)
        has_evidence = is_proven or self.count_full_reports(now) >= MIN_FULL_REPORTS
        if has_evidence and wait_ms > ENTER_RATIO * tolerable_ms:
            self.is_short = True
        if not self.is_short:
            return 0.0
        if wait_ms > LEAVE_RATIO * tolerable_ms:
            self._below_since = None
        elif self._below_since is None:
            self._below_since = now
        elif now - self._below_since >= LEAVE_AFTER_MS:
            self.is_short = False
            self._below_since = None
        return wait_ms

    def _estimate_believed_wait_ms(self, room: Room | None) -> float:
        if room is None:
            self._announced_wait_ms = 0.0
            return 0.0
        wait_ms = room.wait_ms
        # NaN compares as false, as any figure that can't be used.
        if not 0.0 < wait_ms < float("inf") or not room.age_ms >= 0.0:
            self._announced_wait_ms = 0.0
            return 0.0
        self._announced_wait_ms = wait_ms
        if self.trust < MIN_TRUST:
            return 0.0
        belief = self.trust * max(0.0, 1.0 - room.age_ms / MAX_NEWS_AGE_MS)
        return wait_ms * belief * self._bias.factor
