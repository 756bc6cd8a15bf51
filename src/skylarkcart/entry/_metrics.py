"""Prometheus metrics of an instance, in a registry of its own."""

from __future__ import annotations

import prometheus_client

from skylarkcart import invariants
from skylarkcart.types import AccountId

# Deployments have 8 accounts. The limit bounds the number of time series if a
# configuration has many more; further accounts are counted under OTHER_ACCOUNTS.
MAX_ACCOUNT_LABELS = 64
OTHER_ACCOUNTS = "other_accounts"

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56)


class Metrics:
    """Counters, gauges and histograms exposed at ``/metrics``."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            "skylarkcart_requests",
            "Requests by service, kind and result code",
            ("service", "kind", "code"),
            registry=self.registry,
        )
        self.request_duration = prometheus_client.Histogram(
            "skylarkcart_request_seconds",
            "Time from arrival to answer",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.coverage_ratio = prometheus_client.Histogram(
            "skylarkcart_coverage_ratio",
            "Covered shards by shards of the snapshot",
            ("service",),
            buckets=(0.5, 0.9, 0.99, 0.999, 1.0),
            registry=self.registry,
        )
        self.queue_wait = prometheus_client.Histogram(
            "skylarkcart_queue_wait_seconds",
            "Time that admitted searches waited in the fair queue",
            ("service",),
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.queue_refusals = prometheus_client.Counter(
            "skylarkcart_queue_refusals",
            "Searches refused by the fair queue before any call",
            ("service", "reason"),
            registry=self.registry,
        )
        self.upstream_calls = prometheus_client.Counter(
            "skylarkcart_upstream_calls",
            "Calls to upstreams by service and result",
            ("service", "result"),
            registry=self.registry,
        )
        self.revision = prometheus_client.Gauge(
            "skylarkcart_config_revision",
            "Configuration revision in force",
            registry=self.registry,
        )
        self.peer_bytes = prometheus_client.Counter(
            "skylarkcart_peer_bytes",
            "Bytes of message batches between instances",
            ("direction",),
            registry=self.registry,
        )
        self.platform_reads = prometheus_client.Counter(
            "skylarkcart_platform_reads",
            "Reads of the platform by operation and result",
            ("operation", "result"),
            registry=self.registry,
        )
        self.task_failures = prometheus_client.Counter(
            "skylarkcart_task_failures",
            "Errors that ended a background task, which was started again",
            ("task",),
            registry=self.registry,
        )
        self._account_requests = prometheus_client.Counter(
            "skylarkcart_account_requests",
            "Requests by authenticated account and result code",
            ("account", "code"),
            registry=self.registry,
        )
        self._labelled_accounts: set[AccountId] = set()
        self.lifecycle_state = prometheus_client.Gauge(
            "skylarkcart_lifecycle_state",
            "1 for the state that the instance is in, 0 for the others",
            ("state",),
            registry=self.registry,
        )
        self.rights_held = prometheus_client.Gauge(
            "skylarkcart_rights_held",
            "Groups of accounts whose tokens this instance may issue",
            registry=self.registry,
        )
        self.issuers_reachable = prometheus_client.Gauge(
            "skylarkcart_issuers_reachable",
            "1 if the parts are settled and each group has a holder in this zone",
            registry=self.registry,
        )
        # member_zone, as Prometheus already adds the label zone to each target.
        self.members = prometheus_client.Gauge(
            "skylarkcart_members",
            "Known instances, this one included, by their zone and state",
            ("member_zone", "state"),
            registry=self.registry,
        )
        self.platform_contact_age = prometheus_client.Gauge(
            "skylarkcart_platform_contact_age_seconds",
            "Time since a member of this zone last reached the platform; +Inf if never",
            registry=self.registry,
        )
        self.config_conflicts = prometheus_client.Gauge(
            "skylarkcart_config_conflicts",
            "Revisions seen with two contents since the start",
            registry=self.registry,
        )
        self._violations = prometheus_client.Gauge(
            "skylarkcart_invariant_violations",
            "Violations of each invariant since the start",
            ("invariant",),
            registry=self.registry,
        )

    def count_account(self, account: AccountId, code: str) -> None:
        """Counts a request; at most ``MAX_ACCOUNT_LABELS`` accounts get a label."""
        if len(self._labelled_accounts) < MAX_ACCOUNT_LABELS:
            self._labelled_accounts.add(account)
        label = account if account in self._labelled_accounts else OTHER_ACCOUNTS
        self._account_requests.labels(label, code).inc()

    def render(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        violations = invariants.get_violation_counts()
        for invariant in invariants.Invariant:
            count = violations.get(invariant, 0)
            self._violations.labels(invariant.value).set(count)
        return prometheus_client.generate_latest(self.registry)
