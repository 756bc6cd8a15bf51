"""Guards the complete path of a request from the caller to the upstreams and back."""

from __future__ import annotations

import aiohttp
import msgspec
import pytest
import pytest_asyncio

from skylarkcart.standins import StandinDeployment, build_empresa
from skylarkcart.types import AccountId

ACCOUNT = AccountId("account-0")


pytestmark = pytest.mark.asyncio(loop_scope="module")


@pytest_asyncio.fixture(scope="module", loop_scope="module")
async def deployment():
    spec = msgspec.structs.replace(build_empresa(), entries=4)
    deployment = StandinDeployment(spec=spec, seed=5, linger_ms=20)
    await deployment.start()
    yield deployment
    await deployment.stop()


async def post(deployment, path, body, *, key=None, entry=0):
    url = f"http://{deployment.entries[entry].address}/v1/services/{path}"
    secret = deployment.keys[ACCOUNT] if key is None else key
    headers = {"Authorization": f"Bearer {secret}"}
    async with aiohttp.ClientSession() as session:
        async with session.post(url, json=body, headers=headers) as response:
            return response.status, await response.json()


async def test_search_states_snapshot_and_full_coverage(deployment):
    status, answer = await post(
        deployment, "inspection/search", {"query": "ceiba", "limit": 5}
    )
    assert status == 200
    assert answer["snapshot"] == "inspection@1"
    assert answer["coverage"] == {
        "covered": 30,
        "total": 30,
        "complete": True,
        "missing": [],
    }
    scores = [hit["score"] for hit in answer["hits"]]
    assert scores == sorted(scores, reverse=True) and len(scores) == 5


async def test_filing_runs_once_and_returns_its_receipt(deployment):
    status, answer = await post(
        deployment, "sanctions/filings", {"document": {"tree": 7}}
    )
    runs = [
        upstream.filings.get(answer["request_id"], 0)
        for upstream in deployment.upstream_server.upstreams.values()
    ]
    assert status == 200 and answer["verdict"] == "ran"
    assert sum(runs) == 1


async def test_unknown_key_is_refused_before_any_call(deployment):
    forged = "query with a forged key"
    status, answer = await post(
        deployment, "inspection/search", {"query": forged}, key="key-account-0.forged"
    )
    assert status == 401 and answer["verdict"] == "not_run"
    assert forged not in deployment.upstream_server.query_call_times


@pytest.mark.parametrize(
    "body", [{"query": 3}, {"query": "x", "limit": -1}, {"query": "x", "page": 2}, []]
)
async def test_malformed_search_is_refused_with_what_was_expected(deployment, body):
    status, answer = await post(deployment, "inspection/search", body)
    assert status == 400 and answer["verdict"] == "not_run"
    assert answer["detail"]


async def test_lost_replica_is_covered_by_another(deployment):
    failing = next(iter(deployment.upstream_server.upstreams.values()))
    failing.fails_searches = True
    for _ in range(8):
        status, answer = await post(deployment, "inspection/search", {"query": "q"})
        assert status == 200 and answer["coverage"]["complete"]
    failing.fails_searches = False


async def test_metrics_show_requests_and_invariants(deployment):
    await post(deployment, "inspection/search", {"query": "q"})
    url = f"http://{deployment.entries[0].address}/metrics"
    async with aiohttp.ClientSession() as session:
        async with session.get(url) as response:
            text = await response.text()
    assert 'skylarkcart_requests_total{code="ok"' in text
    assert 'skylarkcart_account_requests_total{account="account-0",code="ok"}' in text
    assert 'skylarkcart_lifecycle_state{state="ready"} 1.0' in text
    assert "skylarkcart_issuers_reachable 1.0" in text
    assert 'skylarkcart_invariant_violations{invariant="at_most_once"} 0.0' in text
