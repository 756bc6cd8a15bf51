"""Checks the revisions that instances hold in a configuration run."""

from __future__ import annotations

import msgspec

from skylarkcart.clock import Millis
from skylarkcart.config import compute_digest
from skylarkcart.declarations import Configuration
from skylarkcart.types import InstanceId

IN_FORCE_DEADLINE_MS = 3_000.0
MAX_RECORDED_VIOLATIONS = 20


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration state of one instance at one time."""

    instance: InstanceId
    incarnation: str
    revision: int
    digest: str
    is_ready: bool


class Publication(msgspec.Struct, frozen=True, kw_only=True):
    """A published revision, which eligible instances must adopt by ``due_at``."""

    revision: int
    published_at: Millis

    @property
    def due_at(self) -> Millis:
        return Millis(self.published_at + IN_FORCE_DEADLINE_MS)


class RevisionMonitor:
    """Checks that revisions advance at each instance and are adopted in time.

    A restarted instance has lost its state. It may serve an older revision than before
    the restart only while no settled instance that it can reach holds the newer one;
    such cases are counted in ``unreachable_reverts``.
    """

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.adoption_latencies_ms: list[float] = []
        self.ready_delays_ms: list[float] = []
        self.in_force_checks = 0
        self.restarts_served = 0
        self.unreachable_reverts = 0
        self._published_digests: dict[int, set[str]] = {}
        self._last_observed: dict[tuple[InstanceId, str], Observation] = {}
        self._last_ready: dict[InstanceId, Observation] = {}

    def record_publication(self, configuration: Configuration) -> None:
        digests = self._published_digests.setdefault(configuration.revision, set())
        digests.add(compute_digest(configuration))

    def observe(self, seen: Observation, reachable_revision: int) -> None:
        """Checks an observation of an instance.

        ``reachable_revision`` is the newest revision that the instance can learn.
        """
        self._check_revision_advances(seen)
        if seen.is_ready:
            self._check_ready_revision(seen, reachable_revision)

    def check_in_force(
        self, publication: Publication, instance: InstanceId, adopted_at: Millis | None
    ) -> None:
        """Checks one eligible instance when the publication is due."""
        self.in_force_checks += 1
        if adopted_at is None or adopted_at > publication.due_at:
            self._report(
                f"{instance}: revision {publication.revision} published at "
                f"{publication.published_at:.0f} ms is not in force "
                f"{IN_FORCE_DEADLINE_MS:.0f} ms later"
            )
        else:
            self.adoption_latencies_ms.append(
                max(0.0, adopted_at - publication.published_at)
            )

    def _check_revision_advances(self, seen: Observation) -> None:
        process_key = (seen.instance, seen.incarnation)
        before = self._last_observed.get(process_key)
        self._last_observed[process_key] = seen
        if seen.revision and seen.digest not in self._published_digests[seen.revision]:
            self._report(f"{seen.instance}: revision {seen.revision} was not published")
        if before is None or before.digest == seen.digest:
            return
        if seen.revision <= before.revision:
            self._report(
                f"{seen.instance}: revision {before.revision} was replaced by "
                f"{seen.revision}"
            )

    def _check_ready_revision(self, seen: Observation, reachable_revision: int) -> None:
        before = self._last_ready.get(seen.instance)
        self._last_ready[seen.instance] = seen
        if before is not None and before.incarnation == seen.incarnation:
            return
        if seen.revision < reachable_revision:
            self._report(
                f"{seen.instance}: ready with revision {seen.revision} although "
                f"{reachable_revision} is held by an instance that it can reach"
            )
        if before is None:
            return
        self.restarts_served += 1
        if seen.revision >= before.revision:
            return
        if reachable_revision >= before.revision:
            self._report(
                f"{seen.instance}: served revision {before.revision} before a "
                f"restart and {seen.revision} after it"
            )
        else:
            self.unreachable_reverts += 1

    def _report(self, message: str) -> None:
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            self.violations.append(message)
