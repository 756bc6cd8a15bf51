"""Points at which an HTTP exchange between two processes fails."""

from __future__ import annotations

import enum


class FaultPoint(enum.Enum):
    """Where an HTTP exchange fails, because of the other side or of the network.

    ``ANSWER_FOR_OTHER_REQUEST`` and ``REFUSAL_FOR_OTHER_REQUEST``: the response names a
    request other than the one that was sent.
    """

    NONE = "none"
    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    BEFORE_HEADERS = "before_headers"
    IN_BODY = "in_body"
    AFTER_BODY = "after_body"
    IN_ANSWER_HEADERS = "in_answer_headers"
    IN_ANSWER_BODY = "in_answer_body"
    AFTER_ANSWER = "after_answer"
    ANSWER_FOR_OTHER_REQUEST = "crossed_answer"
    REFUSAL_FOR_OTHER_REQUEST = "crossed_refusal"
    REFUSED_BEFORE_RUNNING = "refused_before_running"
    REFUSED_AFTER_RUNNING = "refused_after_running"
    LATE_ANSWER = "late_answer"
