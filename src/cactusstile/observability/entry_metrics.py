"""Prometheus metrics of an entry."""

from __future__ import annotations

import typing

import attrs
import prometheus_client

if typing.TYPE_CHECKING:
    from cactusstile import verdict
    from cactusstile.entry import streams
    from cactusstile.filters import exchange

_FIRST_TOKEN_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
    25.6,
)


@attrs.frozen
class EntryMetrics:
    """Counters and histograms of one entry, in a separate registry.

    Attributes:
      registry: Registry that contains the metrics of the entry.
      requests: Finished requests by route and status; the status is 0 if no
        answer was sent.
      refusals: Refusals by reason and verdict.
      retries: Retries by reason of the preceding refusal.
      resumes: Resumed streams.
      duplicates: Token batches dropped as duplicates.
      callers_left: Requests whose caller disconnected before the end of the
        answer.
      tokens: Output tokens relayed.
      confined: Placements of storming workspaces on a subset of the targets.
      first_token: Time to first token in seconds.
      certificate_reloads: Certificate reloads by outcome, used or failed.
    """

    registry: prometheus_client.CollectorRegistry
    requests: prometheus_client.Counter
    refusals: prometheus_client.Counter
    retries: prometheus_client.Counter
    resumes: prometheus_client.Counter
    duplicates: prometheus_client.Counter
    callers_left: prometheus_client.Counter
    tokens: prometheus_client.Counter
    confined: prometheus_client.Counter
    first_token: prometheus_client.Histogram
    certificate_reloads: prometheus_client.Counter

    def count_certificate(self, in_use: bool) -> None:
        """Counts a certificate reload; `in_use` says whether it succeeded."""
        self.certificate_reloads.labels("used" if in_use else "failed").inc()

    def count_refusal(
        self, _exchange: exchange.Exchange, refusal: verdict.Refusal
    ) -> None:
        """Counts a refusal by reason and verdict."""
        reason = refusal.reason.value
        self.refusals.labels(reason, refusal.verdict.value).inc()

    def count_progress(self, progress: streams.Progress) -> None:
        """Counts the output tokens, resumptions and duplicates of a request."""
        self.tokens.inc(len(progress.tokens))
        if progress.resumes:
            self.resumes.inc(progress.resumes)
        if progress.duplicates:
            self.duplicates.inc(progress.duplicates)

    def observe_first_token(self, waited_s: float) -> None:
        """Records the time to first token of a request, in seconds."""
        self.first_token.observe(waited_s)


def build() -> EntryMetrics:
    """Creates the metrics of an entry in a new registry."""
    registry = prometheus_client.CollectorRegistry()

    def counter(name: str, doc: str, *labels: str) -> prometheus_client.Counter:
        full_name = f"cactusstile_entry_{name}"
        return prometheus_client.Counter(
            full_name, doc, labels, registry=registry
        )

    return EntryMetrics(
        registry,
        counter("requests", "Finished requests.", "route", "status"),
        counter("refusals", "Refused requests.", "reason", "verdict"),
        counter("retries", "Retries by reason of the refusal.", "reason"),
        counter("stream_resumes", "Resumptions of streams."),
        counter("duplicate_batches", "Dropped batches of tokens."),
        counter("callers_left", "Callers that left before the end."),
        counter("output_tokens", "Output tokens relayed."),
        counter(
            "confined_placements",
            "Placements of storming workspaces on a part of the targets.",
        ),
        prometheus_client.Histogram(
            "cactusstile_entry_first_token_seconds",
            "Time to first token.",
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=registry,
        ),
        counter("certificate_reloads", "Changed certificates.", "outcome"),
    )
