"""Guards against a survey of the peers that ends too early, or never."""

from __future__ import annotations

from skylarkcart.fleet import UNKNOWN_DIGEST, Member, PeerSurvey
from skylarkcart.types import NO_ERA, Era
from tests.gateway.test_hostile_messages import build_report

OLD, NEW = Era(1), Era(2)
KNOWN_DIGEST, UNHEARD_DIGEST = 5, 6
KNOWN_DIGESTS = (0, KNOWN_DIGEST)


def build_member(**fields: object) -> Member:
    return build_report(
        **({"revision": 7, "era": NEW, "kept_digest": 0} | fields)
    ).sender


def build_survey(*, is_first_start: bool = False) -> PeerSurvey:
    survey = PeerSurvey(is_first_start=is_first_start)
    survey.follow_era(NEW)
    return survey


def count_rounds(survey: PeerSurvey, *peers: Member, era: Era = NEW) -> int:
    """Returns the rounds until the survey is complete, 100 at most."""
    for rounds in range(1, 100):
        survey.begin_round(len(peers))
        survey.update(peers, lacks_kept=lambda digest: digest not in KNOWN_DIGESTS)
        if survey.is_complete(era):
            return rounds
    return 100


def test_peer_that_has_surveyed_its_own_ends_the_survey() -> None:
    survey = build_survey()
    peer = build_member(has_surveyed=True, kept_digest=KNOWN_DIGEST)
    survey.update([peer], lacks_kept=lambda digest: False)
    assert survey.is_complete(NEW) and not survey.is_complete(OLD)


def test_without_such_a_peer_some_rounds_have_to_pass() -> None:
    """All may have started together, and one that knows more is heard a bit later."""
    survey = build_survey()
    for _ in range(9):
        survey.update([build_member()], lacks_kept=lambda digest: False)
    assert not survey.is_complete(NEW)
    assert 3 <= count_rounds(survey, build_member()) <= 6


def test_survey_goes_on_while_peers_are_discovered() -> None:
    survey = build_survey()
    peers: list[Member] = []
    for _ in range(6):
        peers.append(build_member())
        survey.begin_round(len(peers))
        survey.update(peers, lacks_kept=lambda digest: False)
    assert not survey.is_complete(NEW)
    assert count_rounds(survey, *peers) <= 3


def test_peer_that_can_not_be_asked_does_not_hold_up_the_survey_for_long() -> None:
    """Requests with keys are refused until the survey is complete."""
    for peer in (
        build_member(kept_digest=UNHEARD_DIGEST, has_surveyed=True),
        build_member(era=OLD, has_surveyed=True),
    ):
        assert 5 <= count_rounds(build_survey(), peer) <= 10


def test_older_builds_and_peers_without_state_are_not_waited_for() -> None:
    expected = count_rounds(build_survey(), build_member())
    for peer in (
        build_member(era=OLD, kept_digest=UNKNOWN_DIGEST),
        build_member(kept_digest=UNKNOWN_DIGEST),
        build_member(era=NO_ERA, revision=0),
    ):
        assert count_rounds(build_survey(), peer) == expected


def test_first_start_of_the_fleet_needs_no_survey() -> None:
    assert build_survey(is_first_start=True).is_complete(NEW)


def test_each_later_era_needs_a_survey_of_its_own() -> None:
    """An instance that was cut off reads the restored store, and lacks what it lost."""
    survey = build_survey(is_first_start=True)
    later = Era(3)
    survey.follow_era(later)
    assert not survey.is_complete(later)
    assert 3 <= count_rounds(survey, build_member(era=later), era=later) <= 6
