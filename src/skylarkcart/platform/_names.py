"""Names of the platform's headers, store keys, paths and environment variables."""

from __future__ import annotations

# Header names are in lower case, because parsed headers are compared in lower case.
REQUEST_ID = b"request-id"
# Remaining time in milliseconds for which the sender waits, not a point in time.
TIME_LEFT = b"deadline-ms"
API_KEY = b"x-api-key"
# The client account, set by the query tier on requests to upstreams.
ACCOUNT = b"tenant"
# Id of the upstream that must handle the request; any other responds with 421.
EXPECTED_UPSTREAM = b"target-instance"
# The upstream's signature of its response.
SIGNATURE = b"server-stamp"
# Present if the upstream did not run the request.
NOT_RUN = b"not-executed"
# Numbers of running requests, waiting requests and slots, separated by commas.
LOAD = b"server-load"
# Present in all responses of an upstream that is leaving.
LEAVING = b"server-leaving"
# With status 503: seconds for which the upstream wants no requests from this sender.
RETRY_AFTER = b"retry-after"
PART_SIGNATURES = b"part-stamps"
MISSING_PARTS = b"missing-parts"
# Id of the upstream that sent the response.
RESPONDING_UPSTREAM = b"instance-id"

CONFIGURATION_KEY = "op/config"
CLOSED_ZONE_PREFIX = "op/evacuate/"
UPSTREAM_PREFIX = "servers/"

# In all responses of the store.
ERA = b"store-era"

RANGE_PATH = "/kv-range"
WATCH_PATH = "/kv-watch"
READINESS_PATH = b"/ready"

SETTINGS_VARIABLE = "SKYLARKCART_SETTINGS"
