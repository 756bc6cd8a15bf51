"""Client of the platform over HTTP and JSON."""

from __future__ import annotations

import asyncio
import re
from urllib.parse import quote

import aiohttp
import msgspec

from skylarkcart.declarations import InstanceList
from skylarkcart.errors import DECODING_ERRORS
from skylarkcart.platform._interface import PlatformError, PublishedValue

VERSION_HEADER = "X-Version"
# A version fits into 64 bits.
_VERSION = re.compile("[0-9]{1,18}")
READ_TIMEOUT_S = 2.0
MILLISECONDS_PER_SECOND = 1000.0


class HttpPlatform:
    """Reads published values and the instance list from a platform.

    Args:
        url: base URL of the platform, such as ``http://127.0.0.1:8500``.
        session: HTTP session, which the caller closes.
    """

    def __init__(self, *, url: str, session: aiohttp.ClientSession) -> None:
        self._url = url.rstrip("/")
        self._session = session

    async def read(self, key: str) -> PublishedValue | None:
        return await self._get_value(f"/v1/values/{quote(key, safe='/')}", wait_s=0.0)

    async def watch(
        self, key: str, *, after_version: int, wait_ms: float
    ) -> PublishedValue | None:
        path = f"/v1/values/{quote(key, safe='/')}"
        query = f"?after={after_version}&wait_ms={int(wait_ms)}"
        return await self._get_value(
            path + query, wait_s=wait_ms / MILLISECONDS_PER_SECOND
        )

    async def list_instances(self) -> InstanceList:
        status, _, body = await self._get("/v1/instances", wait_s=0.0)
        if status != 200:
            raise PlatformError(f"/v1/instances returned status {status}, expected 200")
        try:
            return msgspec.json.decode(body, type=InstanceList)
        except DECODING_ERRORS as error:
            raise PlatformError(
                f"/v1/instances returned a malformed body: {error}"
            ) from error

    async def _get_value(self, path: str, *, wait_s: float) -> PublishedValue | None:
        status, version, body = await self._get(path, wait_s=wait_s)
        if status in (204, 404):
            return None
        if status != 200 or not _VERSION.fullmatch(version):
            raise PlatformError(
                f"{path} returned status {status} with version {version!r}, "
                "expected status 200 with a decimal version"
            )
        return PublishedValue(version=int(version), value=body)

    async def _get(self, path: str, *, wait_s: float) -> tuple[int, str, bytes]:
        timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S + wait_s)
        try:
            async with self._session.get(self._url + path, timeout=timeout) as response:
                body = await response.read()
                version = response.headers.get(VERSION_HEADER, "")
                return response.status, version, body
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            raise PlatformError(f"request for {path} failed: {error!r}") from error
