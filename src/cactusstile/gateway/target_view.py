"""What a gateway believes of one target, from its own observations."""

from __future__ import annotations

import typing

import attrs

from cactusstile.gateway import prompts
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.sites import salts

if typing.TYPE_CHECKING:
    import collections.abc

# Time after which a report of load says nothing any more.
REPORT_LIFE_S = 2.0
# Time after which a gateway's word on its load counts as outdated.
PEER_LIFE_S = 1.0
# Failures in a row after which a target is passed over; the time doubles with
# each further one.
FAILURES_TO_EJECT = 2
EJECTION_S = 0.5
# Time for which a target that rejected a request is passed over; doubled with
# each further rejection.
REJECTION_PAUSE_S = 0.05
MAX_DOUBLINGS = 3
# Weight of the newest result in a target's share of failed requests.
FAILURE_SHARE_STEP = 0.1
DEFAULT_HELD_TOKENS = 50_000


@attrs.frozen
class Load:
    """Load that a target reported with an answer.

    Attributes:
      running: Requests that it worked on.
      waiting: Requests that waited.
      slots: Requests that it runs at once.
      at_s: Loop time of the report.
      own: Requests of this gateway among them, as far as it knows.
    """

    running: int
    waiting: int
    slots: int
    at_s: float
    own: int


@attrs.frozen
class PeerLoad:
    """Load that another gateway brings a target.

    Attributes:
      inflight: Requests under way.
      unread_tokens: Prompt tokens of those without any event yet.
      tokens: Tokens of memory that the requests take.
      at_s: Loop time of the report.
    """

    inflight: int
    unread_tokens: int
    tokens: int
    at_s: float


@attrs.define
class TargetView:
    """Belief about one target.

    Attributes:
      target: The target as last listed.
      held: Parts of prompts that it is believed to hold.
      inflight: Requests of this gateway at the target.
      unread_tokens: Prompt tokens of those without any event yet.
      tokens: Tokens of memory that its requests take.
      load: Last report of its load, if any.
      failures: Failed requests in a row.
      failure_share: Moving share of requests that failed.
      ejected_until_s: Loop time until which it is passed over.
      refusing_until_s: Loop time until which it takes no work, by its own
        word.
      rejections: Rejected requests in a row.
      weights: Version of each model's weights that it holds.
      peers: Load that other gateways bring it, by gateway.
      peers_heard_s: Loop time at which any gateway last told its load.
    """

    target: model.Target
    held: prompts.HeldParts
    inflight: int = 0
    unread_tokens: int = 0
    tokens: int = 0
    load: Load | None = None
    failures: int = 0
    failure_share: float = 0.0
    ejected_until_s: float = 0.0
    refusing_until_s: float = 0.0
    rejections: int = 0
    weights: dict[str, int] = attrs.field(factory=dict)
    peers: dict[str, PeerLoad] = attrs.field(factory=dict)
    peers_heard_s: float = float("-inf")

    def note_listed(self, target: model.Target) -> None:
        """Takes over what the platform lists; it lags behind answers."""
        self.target = target
        for one in target.weights:
            if one.version > self.weights.get(one.model, 0):
                self.note_weights(one.model, one.version)

    def note_weights(self, name: str, version: int) -> None:
        """Notes which weights the target holds."""
        if self.weights.get(name) == version:
            return
        self.weights[name] = version
        self.held.clear()

    def salt(self, name: str, wall: str) -> str:
        """Returns the salt of the KV cache made for a model there.

        It holds the version of the weights, so that parts which other weights
        made are never found.
        """
        return salts.make(wall, name, self.weights.get(name, 0))

    def note_load(self, text: str | None, now_s: float) -> None:
        """Notes the load that a target reports as "running,waiting,slots"."""
        parts = (text or "").split(",")
        if len(parts) != len(("running", "waiting", "slots")):
            return
        if not all(part.strip().isdecimal() for part in parts):
            return
        running, waiting, slots = (int(part) for part in parts)
        self.load = Load(running, waiting, slots, now_s, self.inflight)

    def others(self, now_s: float) -> int:
        """Returns the requests of other gateways at the target.

        What they tell themselves goes before the target's own word, which is
        as old as its last answer.
        """
        if self.hears_peers(now_s):
            return sum(one.inflight for one in self._fresh_peers(now_s))
        load = self.load
        if load is None or now_s - load.at_s > REPORT_LIFE_S:
            return 0
        return max(0, load.running + load.waiting - load.own)

    def _fresh_peers(self, now_s: float) -> list[PeerLoad]:
        return [
            one
            for one in self.peers.values()
            if now_s - one.at_s <= PEER_LIFE_S
        ]

    def hears_peers(self, now_s: float) -> bool:
        """Returns whether other gateways tell their load."""
        return now_s - self.peers_heard_s <= PEER_LIFE_S

    def others_unread(self, now_s: float) -> int | None:
        """Returns the prompt tokens that it has to read for other gateways.

        None if no gateway tells: that is not the same as none to read.
        """
        if not self.hears_peers(now_s):
            return None
        return sum(one.unread_tokens for one in self._fresh_peers(now_s))

    def memory_tokens(self, now_s: float) -> int:
        """Returns the tokens of memory that requests of all gateways take."""
        others = sum(one.tokens for one in self._fresh_peers(now_s))
        return self.tokens + others

    def occupied(self, now_s: float) -> int:
        """Returns the requests at the target, of all gateways."""
        return self.inflight + self.others(now_s)

    def slots(self) -> int:
        """Returns the requests that the target runs at once."""
        if self.load is not None and self.load.slots > 0:
            return self.load.slots
        return self.target.slots

    def note_rejection(self, now_s: float) -> None:
        """Notes that the target said that it takes no request now."""
        self.rejections += 1
        doublings = min(self.rejections - 1, MAX_DOUBLINGS)
        pause_s = REJECTION_PAUSE_S * 2.0**doublings
        self.refusing_until_s = now_s + pause_s

    def note_success(self) -> None:
        """Notes that the target answered."""
        self.failures = 0
        self.rejections = 0
        self.failure_share *= 1 - FAILURE_SHARE_STEP

    def note_failure(self, now_s: float, *, at_once: bool = False) -> None:
        """Notes that a request failed at the target.

        Args:
          now_s: Loop time.
          at_once: Whether one failure is enough to pass it over.
        """
        self.failures += 1
        step = FAILURE_SHARE_STEP
        self.failure_share += step * (1 - self.failure_share)
        if not at_once and self.failures < FAILURES_TO_EJECT:
            return
        doublings = max(0, self.failures - FAILURES_TO_EJECT)
        pause_s = EJECTION_S * 2.0 ** min(doublings, MAX_DOUBLINGS)
        self.ejected_until_s = now_s + pause_s

    def note_error(self) -> None:
        """Notes an answer that reports an error of the target itself."""
        self.failures = 0
        self.failure_share += FAILURE_SHARE_STEP * (1 - self.failure_share)

    def is_usable(self, now_s: float) -> bool:
        """Returns whether requests may be sent there now."""
        if self.target.leaving or self.target.swapping:
            return False
        return self.answers(now_s)

    def answers(self, now_s: float) -> bool:
        """Returns whether it is believed to answer at its address."""
        return now_s >= max(self.refusing_until_s, self.ejected_until_s)


@attrs.define
class Targets:
    """All targets that are listed.

    Attributes:
      views: View of each target, by incarnation.
      by_service: Views of each service.
    """

    views: dict[tuple[str, int], TargetView] = attrs.field(factory=dict)
    by_service: dict[str, list[TargetView]] = attrs.field(factory=dict)

    def update(
        self,
        listed: tuple[model.Target, ...],
        services: dict[str, model.Service],
    ) -> None:
        """Takes over a list; beliefs about targets that stay are kept."""
        kept = {}
        for target in listed:
            view = self.views.get(target.incarnation)
            limit = _held_limit(services.get(target.service))
            if view is None:
                view = TargetView(target, prompts.HeldParts(limit))
            view.held.limit_tokens = limit
            view.note_listed(target)
            kept[target.incarnation] = view
        self.views = kept
        self.by_service = {}
        for view in kept.values():
            name = view.target.service
            self.by_service.setdefault(name, []).append(view)

    def of(self, service: str) -> list[TargetView]:
        """Returns the views of a service's targets."""
        return self.by_service.get(service, [])

    def take_peer(
        self, gateway: str, loads: dict[str, PeerLoad], now_s: float
    ) -> None:
        """Takes over what another gateway tells of its load."""
        for view in self.views.values():
            view.peers_heard_s = now_s
            load = loads.get(view.target.id)
            if load is not None:
                view.peers[gateway] = load
            else:
                view.peers.pop(gateway, None)

    def take_prompts(
        self, sent: collections.abc.Iterable[messages.SentPrompt]
    ) -> None:
        """Takes over which prompts another gateway sent to which engine."""
        by_id = {one.target.id: one for one in self.views.values()}
        for one in sent:
            view = by_id.get(one.target)
            if view is None:
                continue
            parts = tuple(
                prompts.Part(part.id, part.tokens) for part in one.parts
            )
            view.held.note(one.salt, prompts.Prompt(parts=parts))

    def live_services(self) -> set[str]:
        """Returns the services that have a target which is not leaving."""
        found = set()
        for name, views in self.by_service.items():
            if any(not view.target.leaving for view in views):
                found.add(name)
        return found


def _held_limit(service: model.Service | None) -> int:
    if service is None or service.engine is None:
        return DEFAULT_HELD_TOKENS
    return service.engine.kv_tokens or DEFAULT_HELD_TOKENS
