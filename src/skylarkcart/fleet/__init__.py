"""Which instances exist, who reads the store, and what they report to each other."""

from __future__ import annotations

from skylarkcart.fleet._fleet import REPORT_INTERVAL_MS, Fleet, Peer
from skylarkcart.fleet._report import Report, decode_report, encode_report

__all__ = [
    "REPORT_INTERVAL_MS",
    "Fleet",
    "Peer",
    "Report",
    "decode_report",
    "encode_report",
]
