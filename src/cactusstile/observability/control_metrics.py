"""Metrics of a control process, read from its state when they are asked for."""

from __future__ import annotations

import typing

import prometheus_client
import prometheus_client.metrics_core
import prometheus_client.registry

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.control import state as states

_NAMESPACE = "cactusstile_control"


class _Collector(prometheus_client.registry.Collector):
    """Reads gauges from a running control process."""

    def __init__(self, state: states.ControlState) -> None:
        self.state = state

    def collect(
        self,
    ) -> collections.abc.Iterator[prometheus_client.metrics_core.Metric]:
        """Yields the gauges."""
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
        committed = _group_gauge("commit_index", "Last committed index.")
        applied = _group_gauge("applied_index", "Last applied index.")
        for name, replica in self.state.replicas.items():
            status = replica.status()
            leader.add_metric([name], replica.is_leader)
            term.add_metric([name], status.term)
            committed.add_metric([name], status.commit_index)
            applied.add_metric([name], status.applied_index)
        yield from (leader, term, committed, applied)


def build(
    state: states.ControlState,
) -> prometheus_client.CollectorRegistry:
    """Returns a registry with the metrics of one control process."""
    registry = prometheus_client.CollectorRegistry()
    registry.register(_Collector(state))
    return registry


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
