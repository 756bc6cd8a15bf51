"""Scenario ``filing_faults``: the exchange of a filing fails at each possible point."""

from __future__ import annotations

import asyncio
import collections
import itertools
import socket

import aiohttp
import msgspec

from skylarkcart.measure._results import Plot, ScenarioResult, Series, at_most
from skylarkcart.measure._testbed import (
    SERVICE,
    RunContext,
    Testbed,
    Variant,
    build_profile,
    build_spec,
    open_testbed,
)
from skylarkcart.standins import FilingFault
from skylarkcart.verdict import RunVerdict

SERVICE_MS = 10.0
DEADLINE_MS = 150
LATE_RESPONSE_MS = 220.0
CALLER_ATTEMPTS = 3
# Shorter than the service time: the caller disconnects while the filing runs.
CALLER_TIMEOUT_S = 0.008
RUN_SETTLE_S = 0.03
# Longer than the interval at which the baseline polls the instance list.
LIST_SETTLE_S = 3.0
CONNECT_REFUSED = "connect_refused"
CALLER_GONE = "caller_gone"


class FilingResponse(msgspec.Struct, kw_only=True):
    """The field of a filing's response or refusal that the caller reads."""

    verdict: RunVerdict


class FaultCase(msgspec.Struct, frozen=True, kw_only=True):
    """Faults in the first attempts of one filing and the behavior of its caller."""

    faults: tuple[FilingFault, ...]
    caller_disconnects: bool = False
    label: str = ""


class FaultTotals(msgspec.Struct, kw_only=True):
    """Counts over all cases."""

    filings: int = 0
    duplicated: int = 0
    false_not_run: int = 0
    false_ran: int = 0
    verdicts: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )
    duplicated_by_case: collections.Counter[str] = msgspec.field(
        default_factory=collections.Counter
    )


async def run(context: RunContext) -> ScenarioResult:
    system = await _measure(context, Variant.SYSTEM)
    baseline = await _measure(context, Variant.BASELINE)
    figures = _summarize(system)
    return ScenarioResult(
        scenario="filing_faults",
        seed=context.seed,
        duration_factor=context.duration_factor,
        figures=figures,
        baseline=_summarize(baseline),
        targets=(
            at_most("doubled_filings", 0, figures["doubled_filings"]),
            at_most("false_not_run", 0, figures["false_not_run"]),
            at_most("false_ran", 0, figures["false_ran"]),
        ),
        conditions=(
            "each fault alone, each ordered pair for the first two attempts, each with "
            "a caller that disconnects, and each after refused connections",
            "the caller retries a filing, with the same key, only when it was reported "
            "as not run; the upstreams don't deduplicate by key",
        ),
        plots=(
            Plot(
                title="Verdicts of all filings",
                x_label="verdict",
                y_label="filings",
                style="bar",
                series=tuple(
                    Series(
                        label=variant.value,
                        x=tuple(verdict.value for verdict in RunVerdict),
                        y=tuple(
                            float(totals.verdicts[verdict.value])
                            for verdict in RunVerdict
                        ),
                    )
                    for variant, totals in (
                        (Variant.SYSTEM, system),
                        (Variant.BASELINE, baseline),
                    )
                ),
            ),
        ),
    )


def build_fault_cases() -> list[FaultCase]:
    """Returns each fault alone, in ordered pairs and with a caller that disconnects."""
    faults = [fault for fault in FilingFault if fault is not FilingFault.NONE]
    cases = [FaultCase(faults=(fault,), label=fault.value) for fault in faults]
    for first, second in itertools.product(faults, repeat=2):
        label = f"{first.value}+{second.value}"
        cases.append(FaultCase(faults=(first, second), label=label))
    for fault in FilingFault:
        label = f"{fault.value}+{CALLER_GONE}"
        cases.append(FaultCase(faults=(fault,), caller_disconnects=True, label=label))
    return cases


def _summarize(totals: FaultTotals) -> dict[str, float]:
    figures: dict[str, float] = {
        "filings": totals.filings,
        "doubled_filings": totals.duplicated,
        "false_not_run": totals.false_not_run,
        "false_ran": totals.false_ran,
    }
    for verdict in RunVerdict:
        figures[f"verdict_{verdict.value}"] = totals.verdicts[verdict.value]
    return figures


async def _measure(context: RunContext, variant: Variant) -> FaultTotals:
    totals = FaultTotals()
    async with open_testbed(
        context,
        variant,
        spec=build_spec(upstreams=4),
        profile=build_profile(service_ms=SERVICE_MS),
    ) as testbed:
        await testbed.warm_up()
        cases = build_fault_cases()
        for number, case in enumerate(cases):
            context.report_progress(
                f"{variant.value}: fault {number + 1} of {len(cases)}"
            )
            await _run_case(testbed, case, f"fault-{number}", totals)
        with _ClosedPort() as address:
            await _refuse_connections(testbed, address)
            single_fault_cases = [case for case in cases if len(case.faults) == 1]
            for number, case in enumerate(single_fault_cases):
                context.report_progress(
                    f"{variant.value}: {CONNECT_REFUSED}, {case.label}"
                )
                await _run_case(testbed, case, f"refused-{number}", totals)
    return totals


class _ClosedPort:
    """A bound port without a listener, so that connections to it are refused."""

    def __enter__(self) -> str:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    def __exit__(self, *details: object) -> None:
        self._socket.close()


async def _refuse_connections(testbed: Testbed, address: str) -> None:
    """Lists all upstreams but one at an address that refuses connections."""
    for upstream in list(testbed.upstream_server.upstreams)[1:]:
        testbed.upstream_server.override_address(upstream, address)
    testbed.deployment.publish_list()
    await asyncio.sleep(LIST_SETTLE_S)


async def _run_case(
    testbed: Testbed, case: FaultCase, key: str, totals: FaultTotals
) -> None:
    """Sends one filing, with retries, and compares its verdict with its runs."""
    testbed.upstream_server.filing_faults.plan(*case.faults, late_ms=LATE_RESPONSE_MS)
    verdict, was_false = await _send_with_retries(testbed, case, key)
    testbed.upstream_server.filing_faults.plan()
    if FilingFault.RUN_THEN_LATE in case.faults or case.caller_disconnects:
        # Lets attempts that are still running finish, so that they are counted.
        await asyncio.sleep(RUN_SETTLE_S)
    runs = testbed.upstream_server.filing_runs[key]
    totals.filings += 1
    totals.verdicts[verdict] += 1
    totals.duplicated += runs > 1
    totals.duplicated_by_case[case.label] += runs > 1
    totals.false_not_run += was_false or (
        verdict == RunVerdict.NOT_RUN.value and runs > 0
    )
    totals.false_ran += verdict == RunVerdict.RAN.value and runs == 0


async def _send_with_retries(
    testbed: Testbed, case: FaultCase, key: str
) -> tuple[str, bool]:
    """Returns the last verdict, and whether any verdict "not run" was false."""
    verdict = RunVerdict.NOT_RUN.value
    was_false = False
    for _ in range(CALLER_ATTEMPTS):
        verdict = await _send(testbed, case, key)
        if verdict != RunVerdict.NOT_RUN.value:
            break
        was_false = was_false or testbed.upstream_server.filing_runs[key] > 0
    return verdict, was_false


async def _send(testbed: Testbed, case: FaultCase, key: str) -> str:
    token = next(iter(testbed.deployment.keys.values()))
    headers = {
        "Authorization": f"Bearer {token}",
        "Idempotency-Key": key,
        "X-Deadline-Ms": str(DEADLINE_MS),
    }
    url = (
        f"http://{testbed.random.choice(testbed.ready_addresses)}"
        f"/v1/services/{SERVICE}/filings"
    )
    timeout_s = CALLER_TIMEOUT_S if case.caller_disconnects else None
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    body = {"document": {"key": key}}
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.post(url, json=body, headers=headers) as response:
                data = await response.read()
                return msgspec.json.decode(data, type=FilingResponse).verdict.value
    except (aiohttp.ClientError, asyncio.TimeoutError, OSError):
        return RunVerdict.MAY_HAVE_RUN.value
