"""Guards against alerts and dashboard panels with wrong metric or label names.

Such an alert never fires, and such a panel stays empty.
"""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
import pytest
import yaml

from skylarkcart.entry._metrics import Metrics
from skylarkcart.gateway._metrics import GatewayMetrics

ROOT = Path(__file__).parents[2]
RUNBOOK_PATH = "docs/OPERATIONS.md"
# Labels that Prometheus adds to each target, and le, which histogram buckets have.
TARGET_LABELS = {"job", "instance", "zone", "le"}
SUFFIXES = {
    "counter": ("_total",),
    "gauge": ("",),
    "histogram": ("_bucket", "_sum", "_count"),
}
LABEL_MATCHER = re.compile(r"(\w+)\s*(?:=~|!~|!=|=)\s*\"")
LABEL_GROUPING = re.compile(r"\b(?:by|without|on|ignoring)\s*\(([^)]*)\)")


class Rule(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    alert: str
    expr: str
    labels: dict[str, str]
    annotations: dict[str, str]
    hold: str = msgspec.field(name="for", default="0s")


class Group(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    name: str
    rules: list[Rule]


class RuleFile(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    groups: list[Group]


class Target(msgspec.Struct, kw_only=True):
    expr: str


class Panel(msgspec.Struct, kw_only=True):
    id: int
    type: str
    title: str
    targets: list[Target] = []


class Dashboard(msgspec.Struct, kw_only=True):
    title: str
    panels: list[Panel]


def read_rules():
    value = yaml.safe_load((ROOT / "ops" / "alerts.yml").read_text())
    (group,) = msgspec.convert(value, RuleFile).groups
    return group.rules


def read_panels():
    data = (ROOT / "ops" / "dashboard.json").read_bytes()
    panels = msgspec.json.decode(data, type=Dashboard).panels
    return [panel for panel in panels if panel.type != "row"]


def list_exposed_samples():
    """Returns the labels of all exposed samples by sample name.

    The samples are those of the entry instance and of the gateway, as the operations
    page describes both programs.
    """
    exposed = {}
    gateway = GatewayMetrics().registry._collector_to_names
    for metric in (*vars(Metrics()).values(), *gateway):
        for family in getattr(metric, "describe", list)():
            for suffix in SUFFIXES[family.type]:
                # A collector of totals that are kept elsewhere has no labels.
                exposed[family.name + suffix] = set(getattr(metric, "_labelnames", ()))
    return exposed


def find_unknown_names(expression):
    """Returns the unknown metric and label names in a PromQL expression.

    An expression without any metric of skylarkcart is returned as a whole.
    """
    exposed = list_exposed_samples()
    names = set(re.findall(r"skylarkcart_\w+", expression))
    labels = set(LABEL_MATCHER.findall(expression))
    for group in LABEL_GROUPING.findall(expression):
        labels |= {label.strip() for label in group.split(",") if label.strip()}
    known = TARGET_LABELS.union(*(exposed.get(name, ()) for name in names))
    return (names - exposed.keys()) | (labels - known) or (not names and {expression})


def list_result_labels(expression):
    """Returns the labels of the result, which the summary of an alert may contain."""
    groups = LABEL_GROUPING.findall(expression)
    if groups:
        return {label.strip() for group in groups for label in group.split(",")}
    exposed = list_exposed_samples()
    names = re.findall(r"skylarkcart_\w+", expression)
    return TARGET_LABELS.union(*(exposed[name] for name in names))


def build_anchors(page):
    headings = re.findall(r"^#+ (.+)$", page, flags=re.MULTILINE)
    return {re.sub(r"[^\w -]", "", each).lower().replace(" ", "-") for each in headings}


@pytest.mark.parametrize("rule", read_rules(), ids=lambda rule: rule.alert)
def test_alert_names_exposed_metrics_and_a_section_of_the_page(rule):
    assert not find_unknown_names(rule.expr)
    page, _, anchor = rule.annotations["runbook"].partition("#")
    assert page == RUNBOOK_PATH
    assert anchor in build_anchors((ROOT / RUNBOOK_PATH).read_text())
    quoted = set(re.findall(r"\$labels\.(\w+)", rule.annotations["summary"]))
    assert quoted <= list_result_labels(rule.expr)
    assert rule.labels["severity"] in {"info", "warning", "critical"}


@pytest.mark.parametrize("panel", read_panels(), ids=lambda panel: panel.title)
def test_panel_names_exposed_metrics(panel):
    assert panel.targets
    assert not any(find_unknown_names(target.expr) for target in panel.targets)


def test_names_are_unique():
    alerts = [rule.alert for rule in read_rules()]
    ids = [panel.id for panel in read_panels()]
    assert len(set(alerts)) == len(alerts) and len(set(ids)) == len(ids)


def test_page_names_every_metric_and_no_other():
    registries = (Metrics().registry, GatewayMetrics().registry)
    families = {family.name for registry in registries for family in registry.collect()}
    named = set(re.findall(r"`(skylarkcart_\w+)", (ROOT / RUNBOOK_PATH).read_text()))
    assert named <= list_exposed_samples().keys() | families
    assert families <= {name.removesuffix("_total") for name in named}


@pytest.mark.parametrize(
    "expression",
    [
        "skylarkcart_request > 0",
        "skylarkcart_requests > 0",
        'skylarkcart_requests_total{status="ok"}',
        "sum by (member) (skylarkcart_members)",
        "up == 0",
    ],
)
def test_wrong_names_are_found(expression):
    assert find_unknown_names(expression)
