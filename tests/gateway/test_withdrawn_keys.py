"""Guards against requests that run after operators have withdrawn their key."""

from __future__ import annotations

from tests.gateway.deployment import Deployment
from tests.gateway.standins import build_configuration
from tests.gateway.test_task_errors import read_lines


async def put_in_force(deployment: Deployment, document: dict) -> None:
    """Publishes a configuration and waits until it is in force."""
    await deployment.store.put("op/config", document)
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.configuration_version == document["version"])


async def test_log_counts_accounts_and_keys_in_force(deployment) -> None:
    """Without the counts, logs can't tell why a request needed no key."""
    tenants = [{"name": "museum", "apiKeys": ["first", "second"]}]
    await put_in_force(deployment, build_configuration(2, tenants=tenants))
    line = read_lines(deployment.instance._core, "configuration_in_force")[-1]
    assert (line["version"], line["accounts"], line["keys"]) == (2, 1, 2)


async def test_withdrawing_the_last_account_opens_no_route(deployment) -> None:
    """An empty list of accounts was taken for a configuration that asks no keys.

    Requests ran with the withdrawn key, with keys that no version held and without one.
    """
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1"))[0] == 200
        await put_in_force(deployment, build_configuration(2, tenants=[]))
        assert (await caller.send("/read/x", "r2"))[0] == 401
        assert (await caller.send("/read/x", "r3", X_Api_Key="other"))[0] == 401
        assert (await caller.send("/search/x", "r4", X_Api_Key=""))[0] == 401
    for request in ("r2", "r3", "r4"):
        assert deployment.list_runs(request) == []


async def test_configuration_that_names_no_accounts_asks_no_key(deployment) -> None:
    document = build_configuration(2)
    del document["tenants"]
    await put_in_force(deployment, document)
    async with deployment.open_caller() as caller:
        assert (await caller.send("/read/x", "r1", X_Api_Key=""))[0] == 200
