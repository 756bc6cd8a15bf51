"""Membership of the instances, their reports, and which of them read the store."""

from __future__ import annotations

from skylarkcart.fleet._fleet import REPORT_INTERVAL_MS, Fleet, OwnState
from skylarkcart.fleet._peer import Peer
from skylarkcart.fleet._reach import Reach
from skylarkcart.fleet._report import (
    UNKNOWN_DIGEST,
    UNKNOWN_RATE,
    Member,
    Report,
    decode_report,
    encode_report,
)
from skylarkcart.fleet._survey import PeerSurvey

__all__ = [
    "Fleet",
    "Member",
    "OwnState",
    "Peer",
    "PeerSurvey",
    "REPORT_INTERVAL_MS",
    "Reach",
    "Report",
    "UNKNOWN_DIGEST",
    "UNKNOWN_RATE",
    "decode_report",
    "encode_report",
]
