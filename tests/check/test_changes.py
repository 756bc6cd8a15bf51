"""Guards against changes that an operator sends without seeing what they mean."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from skylarkcart.check import Rule
from skylarkcart.check.main import main
from skylarkcart.platform._documents import decode_configuration
from tests.check.test_check import DOCUMENT, KEYS, REMOVED, build_document, check

IN_FORCE = decode_configuration(json.dumps(build_document({"version": 6})).encode())
NEW_ROUTE = DOCUMENT["routes"][2] | {"name": "new", "prefix": "/new/"}
BROAD_ROUTE = DOCUMENT["routes"][2] | {"name": "all", "prefix": "/"}
SHARDS = ["shard-1", "shard-2", "desk"]

CHANGES = [
    ({}, []),
    (
        {"routes.1.service": "desk", "routes.1.split": REMOVED},
        [
            "route read: desk (0.75), desk-new (0.25) -> desk; requests move once they "
            "begin; running ones end where they are"
        ],
    ),
    (
        {"routes.0.gather": SHARDS},
        [
            "route history: 3 shards (shard-1, shard-2, shard-3) -> 3 shards (shard-1, "
            "shard-2, desk); shards that leave: 1, that join: 1; no answer mixes "
            "versions"
        ],
    ),
    (
        {"routes.2.prefix": "/new/"},
        [
            "route file: search.example/file/ -> search.example/new/; at the former "
            "path, requests get 404"
        ],
    ),
    (
        {"routes.-": NEW_ROUTE},
        ["route new: added (search.example/new/); its requests go to desk"],
    ),
    (
        {"routes": [*DOCUMENT["routes"][:2], BROAD_ROUTE]},
        [
            "route file: dropped (search.example/file/); requests go to route all",
            "route all: added (search.example/); its requests go to desk",
        ],
    ),
    (
        {"routes.0.timeoutMs": 700},
        [
            "route history: timeout in ms: 800 -> 700; unanswered requests get 504 "
            "after this time"
        ],
    ),
    (
        {"routes.2.kind": "safe"},
        [
            "route file: safe to repeat: no -> yes; only safe requests are sent to "
            "another upstream after they may have run"
        ],
    ),
    (
        {"limits.maxBodyBytes": 100},
        ["limits: bytes of a body: 262144 -> 100; larger requests get 413"],
    ),
    (
        {"services.3.maxConns": 9},
        [
            "service desk: connections: 69 -> 9; all instances together open at most "
            "so many to each upstream"
        ],
    ),
    (
        {"tenants.0.apiKeys": ["third-secret"]},
        [
            "account museum: keys withdrawn: 1; requests with them get 401",
            "account museum: keys added: 1; requests with them are accepted",
        ],
    ),
    (
        {"tenants": DOCUMENT["tenants"][:1]},
        ["account host: dropped; requests with its keys get 401"],
    ),
    (
        {"tenants": []},
        [
            "accounts: 2 -> 0; no key is valid; requests get 401, except on public "
            "routes"
        ],
    ),
    (
        {"tenants": REMOVED},
        ["accounts: 2 -> none; no request needs a key any more"],
    ),
    (
        {"tenants.0.ratePerS": 50},
        [
            "account museum: requests a second: 40 -> 50; those above get 429; 0 means "
            "no limit"
        ],
    ),
]


@pytest.mark.parametrize(("changes", "expected"), CHANGES)
def test_change_is_described_with_its_effect(changes, expected):
    result = check(changes, in_force=IN_FORCE)
    assert [str(change) for change in result.changes] == expected
    assert not any(key in str(result) for key in KEYS)


@pytest.mark.parametrize("version", [5, 6])
def test_version_must_be_above_the_one_in_force(version):
    """Instances ignore a version that is not above their own."""
    (finding,) = check({"version": version}, in_force=IN_FORCE).findings
    assert (finding.rule, finding.path) == (Rule.STALE_VERSION, "version")


@pytest.fixture
def run(tmp_path, capsys):
    """Returns a function that checks a document and returns exit code and output."""

    def run_check(document: object, *arguments: str) -> tuple[int, str]:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(document))
        code = main(["skylarkcart-check", str(path), *arguments])
        return code, capsys.readouterr().out

    return run_check


def test_exit_codes(run, tmp_path, capsys):
    missing = str(tmp_path / "missing.json")
    unreadable = tmp_path / "unreadable.json"
    unreadable.write_text("{")
    warned = build_document({"routes.0.targetLatencyMs": 900})
    assert run(DOCUMENT) == (0, "version 7: 0 errors, 0 warnings\n")
    assert run(warned)[0] == 1
    assert run(warned, "--level=error") == (0, "version 7: 0 errors, 0 warnings\n")
    assert run({})[0] == 1
    assert run(DOCUMENT, "--format=xml")[0] == 2
    assert run(DOCUMENT, missing)[0] == 2
    assert main(["skylarkcart-check", missing]) == 2
    for flag in ("--in-force", "--upstreams"):
        assert run(DOCUMENT, flag, missing)[0] == 2
        assert main(["skylarkcart-check", missing, flag, str(unreadable)]) == 2
        assert "unreadable.json: " in capsys.readouterr().err


def test_example_of_the_operations_page_is_the_actual_output(run, tmp_path):
    in_force = tmp_path / "in-force.json"
    in_force.write_text(json.dumps(build_document({"version": 6})))
    parts = [{"service": "desk", "weight": 1}, {"service": "desk-new", "weight": 0}]
    changes = {
        "routes.0.minCoverage": 0.9,
        "routes.1.split": parts,
        "routes.-": DOCUMENT["routes"][2] | {"name": "file-2"},
        "tenants.1.apiKeys": ["third-secret"],
    }
    _, output = run(build_document(changes), f"--in-force={in_force}")
    page = (Path(__file__).parents[2] / "docs/OPERATIONS.md").read_text()
    assert "".join(f"    {line}\n" for line in output.splitlines()) in page


def test_json_holds_findings_and_changes(run, tmp_path):
    in_force = tmp_path / "in-force.json"
    in_force.write_text(json.dumps(build_document({"version": 6})))
    document = build_document({"routes.0.topK": 0})
    code, output = run(document, "--format=json", f"--in-force={in_force}")
    assert code == 1
    result = json.loads(output)
    assert result["version"] == 7
    assert result["findings"] == [
        {
            "severity": "error",
            "rule": "no-records",
            "path": "routes[0].topK",
            "detail": "is 0; answers would hold no records",
        }
    ]
    assert [change["subject"] for change in result["changes"]] == ["route history"]
