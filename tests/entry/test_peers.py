"""Guards the exchange between instances against forged and malformed batches."""

from __future__ import annotations

import hashlib
import hmac
import random

import aiohttp
import msgspec
import pytest
from hypothesis import HealthCheck, given, settings as hypothesis_settings, strategies

from skylarkcart.clock import ManualClock, Millis
from skylarkcart.entry import Settings
from skylarkcart.entry._fleet import FleetAgent
from skylarkcart.entry._metrics import Metrics
from skylarkcart.entry._peers import EXCHANGE_PATH, SIGNATURE_HEADER, PeerExchange
from skylarkcart.entry.http_server import HttpServer, bind_address, format_address
from skylarkcart.types import InstanceId, ZoneId
from skylarkcart.upstreams import UpstreamDirectory

SECRET = "a-fleet-secret-only-for-these-tests"


def build_exchange(instance, *, zone="zone-a", secret=SECRET):
    settings = Settings(
        instance=InstanceId(instance),
        zone=ZoneId(zone),
        address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        platform_url="http://127.0.0.1:1",
        fleet_secret=secret,
    )
    fleet = FleetAgent(
        settings=settings,
        incarnation=f"{instance}-1",
        peer_address="127.0.0.1:1",
        random=random.Random(1),
        now=Millis(0),
        upstreams=UpstreamDirectory(
            zone=settings.zone,
            instance=settings.instance,
            random=random.Random(1),
            may_send_cold=lambda upstream: False,
        ),
    )
    return PeerExchange(
        instance=settings.instance,
        fleet_secret=secret,
        clock=ManualClock(),
        fleet=fleet,
        metrics=Metrics(),
    )


@pytest.fixture
async def exchange_url():
    exchange = build_exchange("entry-1")
    listener = bind_address("127.0.0.1:0")
    server = HttpServer(application=exchange.build_application(), sockets=[listener])
    await server.start()
    yield f"http://{format_address(listener)}{EXCHANGE_PATH}"
    await server.stop()


async def post(url, body, signature):
    headers = {SIGNATURE_HEADER: signature}
    async with aiohttp.ClientSession() as session:
        async with session.post(url, data=body, headers=headers) as response:
            return response.status, await response.read()


def sign(body):
    return hmac.new(SECRET.encode(), body, hashlib.sha256).hexdigest()


def encode(recipient, messages=()):
    return msgspec.json.encode(
        {"sender": "entry-2", "recipient": recipient, "messages": list(messages)}
    )


async def test_unsigned_batch_is_refused(exchange_url):
    status, _ = await post(exchange_url, encode("entry-1"), "0" * 64)
    assert status == 403


async def test_batch_captured_for_another_instance_is_refused(exchange_url):
    body = encode("entry-3")
    status, _ = await post(exchange_url, body, sign(body))
    assert status == 400


async def test_unknown_message_type_is_refused(exchange_url):
    body = encode("entry-1", [{"type": "limits.everything"}])
    status, _ = await post(exchange_url, body, sign(body))
    assert status == 400


async def test_heartbeat_is_answered_with_heartbeats(exchange_url):
    heartbeat = {
        "type": "membership.heartbeat",
        "instance": "entry-2",
        "zone": "zone-a",
        "peer_address": "127.0.0.1:1",
        "incarnation": "entry-2-1",
        "sequence": 1,
        "revision": 0,
    }
    body = encode("entry-1", [heartbeat])
    status, reply = await post(exchange_url, body, sign(body))
    types = [message["type"] for message in msgspec.json.decode(reply)["messages"]]
    assert status == 200
    assert {"membership.heartbeat", "config.heartbeat"} <= set(types)


@hypothesis_settings(
    derandomize=True,
    max_examples=300,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(strategies.binary(max_size=200) | strategies.text(max_size=200))
def test_malformed_batches_are_rejected_without_an_error(data):
    body = data if isinstance(data, bytes) else data.encode("utf-8", "replace")
    assert build_exchange("entry-1")._decode(body) is None
