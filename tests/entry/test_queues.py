"""Guards queued searches: revoked keys, refusals and callers that disconnect."""

from __future__ import annotations

import asyncio
import types

import pytest

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.declarations import (
    IndexSnapshot,
    KeyRow,
    ServiceRow,
    ShardPlacement,
)
from skylarkcart.entry._metrics import Metrics
from skylarkcart.entry._queues import QueuedSearch, SearchQueues
from skylarkcart.errors import RequestRefusedError
from skylarkcart.keys import Authenticated, KeyDirectory
from skylarkcart.types import (
    AccountId,
    KeyId,
    RequestId,
    ServiceId,
    ShardId,
    SnapshotId,
    UpstreamId,
)
from skylarkcart.verdict import RunVerdict

SERVICE = ServiceRow(
    service=ServiceId("s"),
    slots=1,
    connections=1,
    connect_cost_ms=1,
    answer_by_ms=100,
    deadline_ms=100,
)
SNAPSHOT = IndexSnapshot(
    service=SERVICE.service,
    snapshot=SnapshotId("s@1"),
    sequence=1,
    shards=(ShardPlacement(shard=ShardId("1"), upstreams=(UpstreamId("u"),)),),
)
KEY = KeyRow(
    key_id=KeyId("k"), account=AccountId("a"), salt="00" * 8, secret_sha256="00" * 32
)


class FakeState:
    """The state of an instance whose capacity is one shard at a time."""

    def __init__(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.keys = KeyDirectory(keys=(KEY,))
        self.configuration_listeners = []

    @property
    def now(self):
        return self.clock.now()

    def find_service(self, service):
        return SERVICE

    def find_snapshot(self, service):
        return SNAPSHOT

    def get_account_weights(self):
        return {}


def build_queued_search(name, *, deadline=100_000.0):
    return QueuedSearch(
        request_id=RequestId(name),
        service=SERVICE,
        account=KEY.account,
        authenticated=Authenticated(
            account=KEY.account,
            key_id=KEY.key_id,
            secret_sha256=KEY.secret_sha256,
        ),
        cost=1,
        deadline=Millis(deadline),
    )


@pytest.fixture
def context():
    state = FakeState()
    return types.SimpleNamespace(state=state, queues=SearchQueues(state=state), ran=[])


async def search(context, queued_search, release=None):
    async with context.queues.admit(queued_search):
        context.ran.append(queued_search.request_id)
        queued_search.calls = 1
        if release is not None:
            await release.wait()


async def start_first(context):
    release = asyncio.Event()
    first = asyncio.create_task(search(context, build_queued_search("first"), release))
    await asyncio.sleep(0)
    return first, release


async def test_key_revoked_while_queued_is_refused_at_once(context):
    first, release = await start_first(context)
    second = asyncio.create_task(search(context, build_queued_search("second")))
    await asyncio.sleep(0)
    context.state.keys = KeyDirectory(keys=())
    for listener in context.state.configuration_listeners:
        listener()
    with pytest.raises(RequestRefusedError) as caught:
        await second
    assert caught.value.status == 401
    assert caught.value.verdict is RunVerdict.NOT_RUN
    release.set()
    await first
    assert context.ran == ["first"]


async def test_key_is_checked_again_on_leaving_the_queue(context):
    first, release = await start_first(context)
    second = asyncio.create_task(search(context, build_queued_search("second")))
    await asyncio.sleep(0)
    context.state.keys = KeyDirectory(keys=())
    release.set()
    await first
    with pytest.raises(RequestRefusedError):
        await second
    assert context.ran == ["first"]


async def test_search_whose_deadline_passes_in_the_queue_is_not_run(context):
    first, release = await start_first(context)
    second = asyncio.create_task(
        search(context, build_queued_search("second", deadline=50))
    )
    await asyncio.sleep(0)
    context.state.clock.advance(60)
    release.set()
    with pytest.raises(RequestRefusedError) as caught:
        await second
    assert caught.value.code == "overloaded"
    assert caught.value.verdict is RunVerdict.NOT_RUN
    assert caught.value.retry_after_ms >= 1
    await first
    assert context.ran == ["first"]


async def test_caller_that_leaves_as_it_is_admitted_gives_its_place_back(context):
    release = asyncio.Event()

    async def run_first():
        async with context.queues.admit(build_queued_search("first")):
            await release.wait()
        # The second search is admitted at this point, but its task has not resumed.
        second.cancel()

    first = asyncio.create_task(run_first())
    await asyncio.sleep(0)
    second = asyncio.create_task(search(context, build_queued_search("second")))
    third = asyncio.create_task(search(context, build_queued_search("third")))
    await asyncio.sleep(0)
    release.set()
    await asyncio.gather(first, second, third, return_exceptions=True)
    assert second.cancelled()
    assert context.ran == ["third"]
