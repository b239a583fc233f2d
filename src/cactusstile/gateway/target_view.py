"""Local view of one target: load, failures and cached prompts.

A view is an estimate. It combines the platform's list of targets, the load
reports in answers, the outcome of this gateway's requests, and the loads that
other gateways report.
"""

from __future__ import annotations

import attrs

from cactusstile.gateway import target_notices
from cactusstile.gateway import target_speed
from cactusstile.gateway import warming
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.peers import load_table
from cactusstile.platform import loads
from cactusstile.routing import evacuation
from cactusstile.sites import model
from cactusstile.sites import salts

# Age from which the load report in a target's answer is ignored.
LOAD_REPORT_MAX_AGE_S = 2.0
# Age from which the load that another gateway reported is ignored.
PEER_REPORT_MAX_AGE_S = 1.0
# Consecutive failures after which a target is ejected. The duration doubles
# with each further failure, up to MAX_DOUBLINGS times.
FAILURES_TO_EJECT = 2
EJECTION_BASE_S = 0.5
# Back-off after a target rejected a request. It doubles with each further
# rejection, up to MAX_DOUBLINGS times.
REJECTION_BACKOFF_BASE_S = 0.05
MAX_DOUBLINGS = 3
# Weight of the newest result in a target's moving fraction of failed requests.
FAILURE_EWMA_WEIGHT = 0.1


@attrs.frozen
class LoadReport:
    """Load that a target reported with an answer.

    Attributes:
      running: Running requests.
      waiting: Queued requests.
      slots: Maximum of concurrently running requests.
      received_at_s: Loop time at which the report arrived.
      own_inflight: Requests of this gateway in flight at that time.
    """

    running: int
    waiting: int
    slots: int
    received_at_s: float
    own_inflight: int


@attrs.define
class TargetView:
    """Local view of one target.

    Attributes:
      target: The target as last listed.
      cached: Prompt parts that the target is assumed to cache.
      inflight: Requests of this gateway at the target.
      unread_tokens: Prompt tokens of the requests without a first event.
      tokens: KV cache that these requests occupy, in tokens.
      load: Last load report; None before the first.
      speed: How long work takes at the target, as last reported.
      failures: Consecutive failed requests.
      failure_share: Moving fraction of requests that failed.
      ejected_until_s: Loop time until which the target is not used after
        failures.
      backoff_until_s: Loop time until which the target is not used after a
        rejection or a misdirected request.
      rejections: Consecutive rejected requests.
      weights: Version of each model's weights at the target.
      peer_loads: Loads that other gateways report, of all targets.
      notices: What the target announced in its answers.
      evacuations: Evacuated data centres.
      warming: Bounds what this gateway sends to the target while it is cold.
      cold_until_s: Loop time until which the target is cold, by the list and by
        what this gateway saw of it.
      was_lost: Whether the target could not be reached since its last success;
        it may have started again.
    """

    target: model.Target
    cached: prompts.CachedParts
    inflight: int = 0
    unread_tokens: int = 0
    tokens: int = 0
    load: LoadReport | None = None
    speed: target_speed.SpeedReport = target_speed.NO_REPORT
    failures: int = 0
    failure_share: float = 0.0
    ejected_until_s: float = 0.0
    backoff_until_s: float = 0.0
    rejections: int = 0
    weights: dict[str, int] = attrs.field(factory=dict)
    peer_loads: load_table.LoadTable = attrs.field(factory=load_table.LoadTable)
    notices: target_notices.TargetNotices = attrs.field(
        default=attrs.Factory(
            lambda view: target_notices.TargetNotices(view.target.id),
            takes_self=True,
        )
    )
    evacuations: evacuation.Evacuations = attrs.field(
        factory=evacuation.Evacuations
    )
    warming: warming.Warming = attrs.field(factory=warming.Warming)
    cold_until_s: float = float("-inf")
    was_lost: bool = False

    @property
    def leaving(self) -> bool:
        """Whether the target must not receive new requests any more."""
        return self.target.leaving or self.notices.leaving

    @property
    def is_evacuated(self) -> bool:
        """Whether the target's data centre receives nothing new."""
        return not self.evacuations.permits(self.target.data_centre)

    @property
    def is_emptying(self) -> bool:
        """Whether it receives nothing new: it leaves or is evacuated."""
        return self.leaving or self.is_evacuated

    def accepts_requests(self, now_s: float) -> bool:
        """Returns whether the target may be sent a request at all.

        One that leaves, asked for a pause or named a limit, that is evacuated
        or cold must not be used even if there is no other.
        """
        if self.is_emptying:
            return False
        if not self.warming.permits(self.is_cold(now_s), now_s):
            return False
        return self.notices.accepts_requests(now_s)

    def accepts_from_s(self, now_s: float) -> float:
        """Returns the loop time from which the target takes requests."""
        warm_s = self.warming.permits_from_s(self.is_cold(now_s), now_s)
        return max(warm_s, self.notices.accepts_from_s(now_s))

    def spend(self, now_s: float) -> None:
        """Counts a request that is sent to the target now."""
        self.notices.limit.spend(now_s)
        self.warming.spend(self.is_cold(now_s), now_s)

    def is_cold(self, now_s: float) -> bool:
        """Returns whether the target is or may be cold."""
        if now_s < self.cold_until_s:
            return True
        return self.evacuations.may_be_cold(
            self.target.data_centre, now_s, self.warming.cold_start_s
        )

    def update_from_list(self, target: model.Target, now_s: float) -> None:
        """Applies the platform's list, which lags behind answers.

        Versions of weights that are older than the local view are ignored.
        """
        self.target = target
        if target.cold_s > 0:
            self.cold_until_s = now_s + target.cold_s
        for weights in target.weights:
            if weights.version > self.weights.get(weights.model, 0):
                self.set_weights(weights.model, weights.version)

    def set_weights(self, name: str, version: int) -> None:
        """Records a model's weights; other ones invalidate the cache."""
        if self.weights.get(name) == version:
            return
        self.weights[name] = version
        self.cached.clear()

    def salt(self, name: str, cache_scope: str) -> str:
        """Returns the salt of a model's KV cache at the target.

        The salt contains the version of the weights, so that KV cache computed
        with other weights is never used.
        """
        return salts.make(cache_scope, name, self.weights.get(name, 0))

    def record_load(self, load: loads.Load | None, now_s: float) -> None:
        """Records the load that a target named, if it did."""
        if load is None:
            return
        self.load = LoadReport(
            load.running, load.waiting, load.slots, now_s, self.inflight
        )
        if load.slowness is not None:
            self.speed = target_speed.SpeedReport(load.slowness, now_s)

    def others(self, now_s: float) -> int:
        """Returns the requests of other gateways at the target.

        Reports of the gateways take precedence over the target's load report,
        which is as old as the target's last answer.
        """
        if self.has_peer_reports(now_s):
            return max(0, self._peer_load().inflight)
        load = self.load
        if load is None or now_s - load.received_at_s > LOAD_REPORT_MAX_AGE_S:
            return 0
        return max(0, load.running + load.waiting - load.own_inflight)

    def _peer_load(self) -> load_table.Load:
        totals = self.peer_loads.totals
        return totals.get(self.target.id, load_table.NO_LOAD)

    def has_peer_reports(self, now_s: float) -> bool:
        """Returns whether other gateways currently report their load."""
        age_s = now_s - self.peer_loads.last_received_s
        return age_s <= PEER_REPORT_MAX_AGE_S

    def peer_unread_tokens(self, now_s: float) -> int | None:
        """Returns the unread prompt tokens of other gateways' requests.

        None if no gateway reports its load, in contrast to 0 unread tokens.
        """
        if not self.has_peer_reports(now_s):
            return None
        return max(0, self._peer_load().unread_tokens)

    def memory_tokens(self, now_s: float) -> int:
        """Returns the KV cache of all gateways' requests, in tokens."""
        if not self.has_peer_reports(now_s):
            return self.tokens
        return self.tokens + max(0, self._peer_load().tokens)

    def occupied(self, now_s: float) -> int:
        """Returns the requests of all gateways at the target."""
        return self.inflight + self.others(now_s)

    def slots(self) -> int:
        """Returns the target's maximum of concurrently running requests."""
        if self.load is not None and self.load.slots > 0:
            return self.load.slots
        return self.target.slots

    def record_rejection(self, now_s: float) -> None:
        """Records that the target rejected a request; starts a back-off."""
        self.rejections += 1
        doublings = min(self.rejections - 1, MAX_DOUBLINGS)
        backoff_s = REJECTION_BACKOFF_BASE_S * 2.0**doublings
        self.backoff_until_s = now_s + backoff_s

    def record_success(self, now_s: float) -> None:
        """Records a successful answer."""
        if self.was_lost:
            # It may have started again under the same id, and be cold.
            self.cold_until_s = max(
                self.cold_until_s, now_s + self.warming.cold_start_s
            )
        self.was_lost = False
        self.failures = 0
        self.rejections = 0
        self.failure_share *= 1 - FAILURE_EWMA_WEIGHT

    def record_failure(self, now_s: float, *, eject_now: bool = False) -> None:
        """Records a failed request.

        Args:
          now_s: Loop time.
          eject_now: Whether a single failure ejects the target.
        """
        self.failures += 1
        self.was_lost = self.was_lost or eject_now
        step = FAILURE_EWMA_WEIGHT
        self.failure_share += step * (1 - self.failure_share)
        if not eject_now and self.failures < FAILURES_TO_EJECT:
            return
        doublings = max(0, self.failures - FAILURES_TO_EJECT)
        backoff_s = EJECTION_BASE_S * 2.0 ** min(doublings, MAX_DOUBLINGS)
        self.ejected_until_s = now_s + backoff_s

    def record_error(self) -> None:
        """Records an answer in which the target reports its own error."""
        self.failures = 0
        self.failure_share += FAILURE_EWMA_WEIGHT * (1 - self.failure_share)

    def is_usable(self, now_s: float) -> bool:
        """Returns whether the target may receive new requests."""
        if not self.accepts_requests(now_s) or self.target.swapping:
            return False
        return self.is_reachable(now_s)

    def is_reachable(self, now_s: float) -> bool:
        """Returns whether the target is neither ejected nor in back-off."""
        return now_s >= max(self.backoff_until_s, self.ejected_until_s)
