"""Guards against faulty configurations that an operator would notice only in operation.

Each document differs in one place from a valid one, as the platform stores it.
"""

from __future__ import annotations

import copy
import itertools
import json

import pytest

from skylarkcart.check import Rule, Severity, check_document
from skylarkcart.errors import InvalidValueError
from skylarkcart.platform._document_check import DocumentRule
from skylarkcart.platform._documents import decode_configuration

KEYS = ("first-secret", "second-secret")
ROUTE = {
    "host": "search.example",
    "kind": "safe",
    "timeoutMs": 800,
    "targetLatencyMs": 170,
    "priority": 1,
    "maxAttempts": 2,
}
DOCUMENT = {
    "version": 7,
    "routes": [
        ROUTE
        | {
            "name": "history",
            "prefix": "/history/",
            "gather": ["shard-1", "shard-2", "shard-3"],
            "topK": 5,
            "minCoverage": 0.6,
        },
        ROUTE
        | {
            "name": "read",
            "prefix": "/read/",
            "split": [
                {"service": "desk", "weight": 0.75},
                {"service": "desk-new", "weight": 0.25},
            ],
        },
        ROUTE
        | {"name": "file", "prefix": "/file/", "kind": "unsafe", "service": "desk"},
    ],
    "services": [
        {
            "name": name,
            "healthPath": "/healthz",
            "maxConns": 69,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 3.0,
            "coldPerS": 0.0,
        }
        for name in ("shard-1", "shard-2", "shard-3", "desk", "desk-new")
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {"name": "museum", "apiKeys": [KEYS[0]], "ratePerS": 40, "burst": 40},
        {"name": "host", "apiKeys": [KEYS[1]], "ratePerS": 10, "burst": 10},
    ],
}
REMOVED = object()


def build_document(changes: dict[str, object] | None = None) -> dict:
    """Returns the valid document with changes, by paths such as ``routes.0.topK``."""
    document = copy.deepcopy(DOCUMENT)
    for path, value in (changes or {}).items():
        *parents, last = path.split(".")
        parent = document
        for name in parents:
            parent = parent[int(name)] if name.isdigit() else parent[name]
        if value is REMOVED:
            del parent[last]
        elif isinstance(parent, list):
            parent.append(value)
        else:
            parent[last] = value
    return document


def check(changes: dict[str, object] | None = None, **options):
    return check_document(json.dumps(build_document(changes)).encode(), **options)


def test_valid_document_is_clean():
    result = check()
    assert result.version == 7 and result.findings == ()


EXTRA_ROUTE = DOCUMENT["routes"][2] | {"name": "extra"}
EXTRA_SERVICE = DOCUMENT["services"][0] | {"name": "other"}
# The changes, the rule and the path of the only finding.
VIOLATIONS = [
    ({"version": "7"}, Rule.TYPE, "version"),
    ({"routes.0.timeoutMs": "800"}, Rule.TYPE, "routes[0].timeoutMs"),
    ({"routes.1.split": [{"service": "desk"}]}, Rule.TYPE, "routes[1].split[0].weight"),
    ({"routes.2.host": REMOVED}, Rule.TYPE, "routes[2].host"),
    ({"routes.0.timeoutMS": 1}, Rule.UNKNOWN_FIELD, "routes[0].timeoutMS"),
    ({"limit": {}}, Rule.UNKNOWN_FIELD, "limit"),
    ({"routes.2.topK": 5}, Rule.UNUSED_FIELD, "routes[2].topK"),
    ({"routes.2.name": "read"}, Rule.DUPLICATE_NAME, "routes[2].name"),
    ({"tenants.1.name": "museum"}, Rule.DUPLICATE_NAME, "tenants[1].name"),
    (
        {"services.-": DOCUMENT["services"][0]},
        Rule.DUPLICATE_NAME,
        "services[5].name",
    ),
    ({"routes.2.host": "search.example:80"}, Rule.HOST, "routes[2].host"),
    ({"routes.2.host": ""}, Rule.HOST, "routes[2].host"),
    ({"routes.2.prefix": "/file"}, Rule.PREFIX, "routes[2].prefix"),
    ({"routes.2.prefix": "/file?a/"}, Rule.PREFIX, "routes[2].prefix"),
    ({"routes.-": EXTRA_ROUTE}, Rule.UNREACHABLE_ROUTE, "routes[3]"),
    (
        {"routes.-": EXTRA_ROUTE | {"host": "SEARCH.example"}},
        Rule.UNREACHABLE_ROUTE,
        "routes[3]",
    ),
    ({"routes.2.kind": "Safe"}, Rule.ROUTE_KIND, "routes[2].kind"),
    ({"routes.2.service": REMOVED}, Rule.ROUTE_DESTINATION, "routes[2]"),
    ({"routes.1.service": "desk-new"}, Rule.ROUTE_DESTINATION, "routes[1]"),
    ({"routes.2.service": "desc"}, Rule.UNKNOWN_SERVICE, "routes[2]"),
    (
        {"routes.0.gather": ["shard-1", "shard-2", "shard-3", "shard-1"]},
        Rule.REPEATED_SERVICE,
        "routes[0].gather",
    ),
    ({"routes.0.kind": "unsafe"}, Rule.UNSAFE_GATHER, "routes[0].kind"),
    ({"routes.0.topK": 0}, Rule.NO_RECORDS, "routes[0].topK"),
    ({"routes.0.minCoverage": 1.5}, Rule.UNREACHABLE_COVERAGE, "routes[0].minCoverage"),
    ({"routes.0.minCoverage": 0.9}, Rule.COMPLETE_COVERAGE, "routes[0].minCoverage"),
    ({"routes.0.minCoverage": -0.1}, Rule.INVALID_NUMBER, "routes[0].minCoverage"),
    (
        {
            "routes.1.split": [
                {"service": "desk", "weight": 0},
                {"service": "desk-new", "weight": 0},
            ]
        },
        Rule.NO_WEIGHT,
        "routes[1].split",
    ),
    (
        {
            "routes.1.split": [
                {"service": "desk", "weight": 1},
                {"service": "desk-new", "weight": 0},
            ]
        },
        Rule.UNUSED_PART,
        "routes[1].split",
    ),
    ({"routes.2.timeoutMs": 0}, Rule.INVALID_NUMBER, "routes[2].timeoutMs"),
    ({"routes.2.priority": -1}, Rule.INVALID_NUMBER, "routes[2].priority"),
    (
        {"routes.2.targetLatencyMs": 900},
        Rule.TARGET_ABOVE_TIMEOUT,
        "routes[2].targetLatencyMs",
    ),
    ({"routes.2.maxAttempts": 0}, Rule.NO_ATTEMPTS, "routes[2].maxAttempts"),
    (
        {"routes.2.priority": 0, "routes.2.targetLatencyMs": 700},
        Rule.PRIORITY_ORDER,
        "routes[2].priority",
    ),
    ({"services.-": EXTRA_SERVICE}, Rule.UNUSED_SERVICE, "services[5]"),
    ({"services.0.coldPerS": -1}, Rule.INVALID_NUMBER, "services[0].coldPerS"),
    ({"tenants.1.apiKeys": [KEYS[0]]}, Rule.SHARED_KEY, "tenants[1].apiKeys[0]"),
    ({"tenants.0.apiKeys.-": KEYS[0]}, Rule.REPEATED_KEY, "tenants[0].apiKeys[1]"),
    ({"tenants.0.apiKeys.-": ""}, Rule.EMPTY_KEY, "tenants[0].apiKeys[1]"),
    ({"tenants.0.apiKeys": []}, Rule.NO_KEYS, "tenants[0]"),
    ({"tenants": []}, Rule.NO_KEYS, "tenants"),
    ({"tenants.0.burst": 0.5}, Rule.BURST_BELOW_ONE, "tenants[0].burst"),
    ({"tenants.0.burst": 400}, Rule.BURST_ABOVE_RATE, "tenants[0].burst"),
    ({"tenants.0.ratePerS": 0}, Rule.UNUSED_BURST, "tenants[0].burst"),
    ({"tenants.0.ratePerS": -1}, Rule.INVALID_NUMBER, "tenants[0].ratePerS"),
    (
        {"limits.idleTimeoutMs": 1000},
        Rule.SHORT_IDLE_TIMEOUT,
        "limits.idleTimeoutMs",
    ),
    ({"limits.maxHeaderBytes": 0}, Rule.INVALID_NUMBER, "limits.maxHeaderBytes"),
]


@pytest.mark.parametrize(("changes", "rule", "path"), VIOLATIONS)
def test_violation_is_found_at_its_path(changes, rule, path):
    result = check(changes)
    assert [(finding.rule, finding.path) for finding in result.findings] == [
        (rule, path)
    ]
    assert not any(key in str(result) for key in KEYS)


@pytest.mark.parametrize(
    ("counts", "rule"),
    [({"desk": 1}, Rule.UNUSED_ATTEMPTS), ({"desk": 0}, Rule.NO_UPSTREAMS)],
)
def test_attempts_are_compared_with_upstreams(counts, rule):
    upstreams = dict.fromkeys(("shard-1", "shard-2", "shard-3", "desk-new"), 3)
    findings = check(upstreams=upstreams | counts).findings
    assert {finding.rule for finding in findings} == {rule}
    assert check(upstreams=upstreams | {"desk": 2}).findings == ()


def test_every_rule_has_a_case():
    covered = {rule for _, rule, _ in VIOLATIONS}
    elsewhere = {
        Rule.SYNTAX,
        Rule.STALE_VERSION,
        Rule.UNUSED_ATTEMPTS,
        Rule.NO_UPSTREAMS,
    }
    assert covered | elsewhere == set(Rule)
    assert {rule.value for rule in DocumentRule} <= {rule.label for rule in Rule}


def test_all_type_errors_are_reported_at_once():
    """Decoding stops at the first one."""
    result = check({"routes.0.timeoutMs": "1", "services.4.maxConns": -1})
    assert [finding.path for finding in result.findings] == [
        "routes[0].timeoutMs",
        "services[4].maxConns",
    ]
    assert result.version is None


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"null", b"[" * 5_000, b"\xff"])
def test_bytes_that_are_no_document_are_an_error(data):
    (finding,) = check_document(data).findings
    assert finding.rule is Rule.SYNTAX and finding.severity is Severity.ERROR


def test_what_instances_decode_has_no_type_errors():
    """The check of single fields agrees with the decoder."""
    values = (1, 1.0, -1, 2**63, "1", None, True, [], {})
    paths = ("version", "routes.0.topK", "routes.0.timeoutMs", "limits", "tenants")
    for path, value in itertools.product(paths, values):
        data = json.dumps(build_document({path: value})).encode()
        assert (check_document(data).version is not None) == is_decodable(data)


def is_decodable(data: bytes) -> bool:
    try:
        decode_configuration(data)
    except InvalidValueError:
        return False
    return True
