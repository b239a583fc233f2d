"""Counters and histograms of a gateway."""

from __future__ import annotations

import typing

import prometheus_client

from cactusstile.gateway import records

if typing.TYPE_CHECKING:
    from cactusstile.gateway import site_view

_LATENCY_BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    0.75,
    1.0,
    2.0,
    4.0,
    8.0,
)


class SiteGauges:
    """Gauges of a gateway's local view of the site.

    Attributes:
      registry: Registry of the gauges.
      version: Version of the configuration in force.
      view_age: Time since control last confirmed the view, in seconds; -1 if
        it never did.
      evacuated: Number of evacuated data centres.
      cold_targets: Number of targets that are or may be cold.
      separated: Number of services that keep long prompts apart.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        """Creates the gauges with zero values."""
        self.registry = registry
        self.version = self._open_gauge(
            "cactusstile_gateway_configuration_version",
            "Version of the configuration in force.",
        )
        self.view_age = self._open_gauge(
            "cactusstile_gateway_view_age_seconds",
            "Time since control last confirmed the view of the site.",
        )
        self.evacuated = self._open_gauge(
            "cactusstile_gateway_evacuated_data_centres",
            "Data centres that receive nothing new.",
        )
        self.cold_targets = self._open_gauge(
            "cactusstile_gateway_cold_targets",
            "Targets that are or may be cold.",
        )
        self.separated = self._open_gauge(
            "cactusstile_gateway_separated_services",
            "Services that keep long prompts apart from streams.",
        )

    def _open_gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        return prometheus_client.Gauge(name, text, registry=self.registry)

    def show(self, site: site_view.SiteView, now_s: float) -> None:
        """Updates the gauges from the local view of the site."""
        self.version.set(site.version)
        age_s = site.view_age.age_s()
        self.view_age.set(-1 if age_s == float("inf") else age_s)
        self.evacuated.set(len(site.targets.evacuations.data_centres))
        views = site.targets.views.values()
        self.cold_targets.set(sum(view.is_cold(now_s) for view in views))
        known = site.separations.services.values()
        self.separated.set(sum(one.is_active(now_s) for one in known))


class GatewayMetrics:
    """Metrics of one gateway.

    Attributes:
      registry: Registry of the metrics.
      requests: Requests by route, outcome and status.
      attempts: Attempts by outcome.
      notices: Attempts whose target announced something in its answer.
      duration: Duration of requests in seconds, by route.
      first_byte: Time to the first byte of the answer in seconds, by route.
      site: Gauges of the local view of the site.
    """

    def __init__(self) -> None:
        """Creates the metrics with zero values."""
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = self._open_counter(
            "cactusstile_gateway_requests",
            "Requests by route, outcome and status.",
            ["route", "outcome", "status"],
        )
        self.attempts = self._open_counter(
            "cactusstile_gateway_attempts",
            "Attempts at targets by outcome.",
            ["outcome"],
        )
        self.notices = self._open_counter(
            "cactusstile_gateway_target_notices",
            "Attempts whose target announced this in its answer.",
            ["notice"],
        )
        self.duration = self._open_histogram(
            "cactusstile_gateway_request_duration_seconds",
            "Time from the first byte of a request to the end of its answer.",
        )
        self.first_byte = self._open_histogram(
            "cactusstile_gateway_first_byte_seconds",
            "Time from the first byte of a request to that of its answer.",
        )
        self.site = SiteGauges(self.registry)

    def _open_histogram(
        self, name: str, text: str
    ) -> prometheus_client.Histogram:
        """Opens a histogram of times by route."""
        return prometheus_client.Histogram(
            name,
            text,
            ["route"],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )

    def _open_counter(
        self, name: str, text: str, labels: list[str]
    ) -> prometheus_client.Counter:
        return prometheus_client.Counter(
            name, text, labels, registry=self.registry
        )

    def count(self, record: records.RequestRecord) -> None:
        """Counts a completed request and its attempts."""
        route = record.route
        self.requests.labels(route, record.outcome, str(record.status)).inc()
        self.duration.labels(route).observe(record.ended_s - record.received_s)
        if record.first_byte_s is not None:
            self.first_byte.labels(route).observe(
                record.first_byte_s - record.received_s
            )
        for attempt in record.attempts:
            self.attempts.labels(attempt.outcome or "cut_off").inc()
            if attempt.said_leaving:
                self.notices.labels("leaving").inc()
            if attempt.pause_s:
                self.notices.labels("pause").inc()
            if attempt.limit_per_s is not None:
                self.notices.labels("limit").inc()
