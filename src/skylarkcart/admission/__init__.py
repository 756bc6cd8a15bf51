"""Decides which requests get room while the services have too little of it."""

from __future__ import annotations

from skylarkcart.admission._admission import Admission
from skylarkcart.admission._messages import (
    ADMITTED,
    AdmissionDecision,
    AdmissionKind,
    AdmissionReason,
    AdmissionRequest,
    Room,
    RoomView,
)

__all__ = [
    "ADMITTED",
    "Admission",
    "AdmissionDecision",
    "AdmissionKind",
    "AdmissionReason",
    "AdmissionRequest",
    "Room",
    "RoomView",
]
