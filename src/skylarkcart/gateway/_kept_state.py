"""Compares what this instance and its peers keep from earlier eras of the store."""

from __future__ import annotations

from skylarkcart.fleet import Member
from skylarkcart.gateway._core import Core


def list_keeping_peers(core: Core) -> tuple[Member, ...]:
    """Returns the peers that keep what may be missing here."""
    now = core.now
    return core.fleet.list_keeping_peers(
        core.registry.era,
        lambda digest: core.registry.lacks_kept(digest, now),
        now,
    )


def update_survey(core: Core) -> None:
    """Completes the survey of the peers if what they keep is known now."""
    registry, survey = core.registry, core.survey
    if survey.is_complete(registry.era):
        return
    now = core.now
    survey.follow_era(registry.era)
    survey.update(
        core.fleet.list_responsive_members(now),
        lacks_kept=lambda digest: registry.lacks_kept(digest, now),
    )
    if not survey.is_complete(registry.era):
        return
    core.log.write(
        "peers_surveyed",
        era=registry.era,
        revision=registry.revision,
        peer_count=len(core.fleet.peers),
        kept_digest=registry.compute_kept_digest(now),
    )
    registry.record_survey()
    if registry.revision:
        core.apply_published_state()
