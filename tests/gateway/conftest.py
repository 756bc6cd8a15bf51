"""Fixtures for the gateway tests."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest_asyncio

from tests.gateway.deployment import Deployment


@pytest_asyncio.fixture
async def deployment() -> AsyncIterator[Deployment]:
    deployment = Deployment()
    await deployment.start()
    yield deployment
    deployment.stop()
