"""Guards against requests that run after operators have withdrawn their key."""

from __future__ import annotations

from tests.gateway.deployment import Deployment
from tests.gateway.standins import build_configuration
from tests.gateway.test_task_errors import read_lines


async def put_in_force(deployment: Deployment, version: int, **fields: object) -> None:
    """Publishes a version of the configuration and waits until it is in force."""
    await deployment.store.put("op/config", build_configuration(version, **fields))
    core = deployment.instance._core
    await deployment.wait_for(lambda: core.configuration_version == version)


async def test_log_counts_accounts_and_keys_in_force(deployment) -> None:
    """Without the counts, logs can't tell why a request needed no key."""
    tenants = [{"name": "museum", "apiKeys": ["first", "second"]}]
    await put_in_force(deployment, 2, tenants=tenants)
    line = read_lines(deployment.instance._core, "configuration_in_force")[-1]
    assert (line["version"], line["accounts"], line["keys"]) == (2, 1, 2)
