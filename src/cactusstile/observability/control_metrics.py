"""Metrics of a control process, collected from its state on each scrape."""

from __future__ import annotations

import typing

import prometheus_client
import prometheus_client.metrics_core
import prometheus_client.registry

from cactusstile.consensus import counters

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.control import state as states

_NAMESPACE = "cactusstile_control"


class _Collector(prometheus_client.registry.Collector):
    """Collects metrics from the state of a running control process."""

    def __init__(self, state: states.ControlState) -> None:
        self.state = state

    def collect(
        self,
    ) -> collections.abc.Iterator[prometheus_client.metrics_core.Metric]:
        """Yields the metrics of the process and of its consensus groups."""
        state = self.state
        yield _gauge(
            "revision", "Revision in force.", state.configuration.fleet.revision
        )
        yield _gauge("claims", "Claims that are kept.", len(state.claims))
        yield _gauge(
            "children",
            "Children in the delivery tree.",
            len(state.relay.children()),
        )
        yield from self._collect_groups()

    def _collect_groups(
        self,
    ) -> collections.abc.Iterator[prometheus_client.metrics_core.Metric]:
        leader = _group_gauge("leader", "Whether this replica leads.")
        term = _group_gauge("term", "Present term.")
        role = prometheus_client.metrics_core.GaugeMetricFamily(
            f"{_NAMESPACE}_role",
            "Present role of this replica; its value is 1.",
            labels=["group", "role"],
        )
        committed = _group_gauge("commit_index", "Last committed index.")
        applied = _group_gauge("applied_index", "Last applied index.")
        for name, replica in self.state.replicas.items():
            status = replica.status()
            leader.add_metric([name], replica.is_leader)
            role.add_metric([name, status.role], 1)
            term.add_metric([name], status.term)
            committed.add_metric([name], status.commit_index)
            applied.add_metric([name], status.applied_index)
        yield from (leader, role, term, committed, applied)
        yield from self._collect_counters()

    def _collect_counters(
        self,
    ) -> collections.abc.Iterator[prometheus_client.metrics_core.Metric]:
        elections = _group_counter(
            "elections", "Elections that this replica stood for."
        )
        snapshots_taken = _group_counter("snapshots_taken", "Snapshots saved.")
        snapshots_installed = _group_counter(
            "snapshots_installed", "Snapshots received from a leader."
        )
        syncs = prometheus_client.metrics_core.HistogramMetricFamily(
            f"{_NAMESPACE}_sync_seconds",
            "Time to make a batch of writes durable.",
            labels=["group"],
        )
        for name, replica in self.state.replicas.items():
            replica_counters = replica.counters()
            elections.add_metric([name], replica.status().campaigns)
            snapshots_taken.add_metric([name], replica_counters.snapshots_taken)
            snapshots_installed.add_metric(
                [name], replica_counters.snapshots_installed
            )
            syncs.add_metric(
                [name], _buckets(replica_counters), replica_counters.sync_s
            )
        yield from (elections, snapshots_taken, snapshots_installed, syncs)


def build(
    state: states.ControlState,
) -> prometheus_client.CollectorRegistry:
    """Returns a registry with the metrics of one control process."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(state))
    return registry


def _buckets(replica_counters: counters.Counters) -> list[tuple[str, float]]:
    """Returns the cumulative buckets of the sync duration histogram."""
    bounds = [str(limit_s) for limit_s in counters.SYNC_BUCKETS_S]
    buckets = zip(bounds, replica_counters.syncs_by_bucket, strict=True)
    return [*buckets, ("+Inf", replica_counters.syncs)]


def _group_counter(
    name: str, text: str
) -> prometheus_client.metrics_core.CounterMetricFamily:
    return prometheus_client.metrics_core.CounterMetricFamily(
        f"{_NAMESPACE}_{name}", text, labels=["group"]
    )


def _gauge(
    name: str, text: str, value: float
) -> prometheus_client.metrics_core.Metric:
    return prometheus_client.metrics_core.GaugeMetricFamily(
        f"{_NAMESPACE}_{name}", text, value=value
    )


def _group_gauge(
    name: str, text: str
) -> prometheus_client.metrics_core.GaugeMetricFamily:
    return prometheus_client.metrics_core.GaugeMetricFamily(
        f"{_NAMESPACE}_{name}", text, labels=["group"]
    )
