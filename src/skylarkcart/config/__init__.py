"""Decodes, validates, stores and distributes configuration revisions."""

from __future__ import annotations

from skylarkcart.config._checks import Finding, check_configuration, find_errors
from skylarkcart.config._declaration_files import FLEET_FILE, read_declarations
from skylarkcart.config._diff import Difference, describe_difference
from skylarkcart.config._encoding import (
    MAX_VALUE_BYTES,
    compute_digest,
    decode_configuration,
    encode_compact,
    encode_rows,
)
from skylarkcart.config._messages import (
    ChangeDelta,
    ChangeRequest,
    ConfigMessage,
    OutgoingMessage,
    RevisionHeartbeat,
    WholeValue,
)
from skylarkcart.config._readers import READERS_PER_ZONE, select_readers
from skylarkcart.config._relay import ConfigAgent
from skylarkcart.config._revisions import OfferOutcome, OfferResult, RevisionStore

__all__ = [
    "MAX_VALUE_BYTES",
    "READERS_PER_ZONE",
    "ChangeDelta",
    "ChangeRequest",
    "ConfigAgent",
    "ConfigMessage",
    "Difference",
    "FLEET_FILE",
    "Finding",
    "OfferResult",
    "OfferOutcome",
    "RevisionHeartbeat",
    "RevisionStore",
    "OutgoingMessage",
    "WholeValue",
    "check_configuration",
    "compute_digest",
    "decode_configuration",
    "describe_difference",
    "encode_compact",
    "encode_rows",
    "find_errors",
    "read_declarations",
    "select_readers",
]
