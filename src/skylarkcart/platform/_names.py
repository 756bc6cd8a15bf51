"""Header names, keys and paths of the platform."""

from __future__ import annotations

# Headers in lower case, as the parsers compare them.
REQUEST_ID = b"request-id"
# Milliseconds that the sender will still wait, not a point in time.
TIME_LEFT = b"deadline-ms"
API_KEY = b"x-api-key"
# The client account, set by the query tier for upstreams.
ACCOUNT = b"tenant"
# The upstream id that must handle the request; another answers 421.
EXPECTED_UPSTREAM = b"target-instance"
# The upstream's signature over its answer.
SIGNATURE = b"server-stamp"
# Present if the upstream did not run the request.
NOT_RUN = b"not-executed"
# Running requests, waiting requests and slots.
LOAD = b"server-load"
PART_SIGNATURES = b"part-stamps"
MISSING_PARTS = b"missing-parts"
# The id of the upstream that answered.
ANSWERING_UPSTREAM = b"instance-id"

CONFIGURATION_KEY = "op/config"
CLOSED_ZONE_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"

RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
READINESS_PATH = b"/ready"

SETTINGS_VARIABLE = "SKYLARKCART_SETTINGS"
