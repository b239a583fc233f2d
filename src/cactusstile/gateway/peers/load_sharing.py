"""Decides which loads a gateway tells to whom, and applies what it is told.

Without the exchange, gateways would see each other's load only in the answers
of targets, too late, and several of many gateways would choose the same idle
engine. Gateways also announce which engine they sent a prompt to, so that a
prompt with the same prefix at another gateway is placed on the engine that
caches it, and how long their fetches took, so that a slow source is known to
all after a few. Messages may be lost: the next one replaces the load, and a
prompt whose announcement was lost is recomputed.

The module does no I/O; see `load_relays` for who is a relay.
"""

from __future__ import annotations

import collections
import math
import typing

import anyio
import attrs

from cactusstile.gateway import site_view
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import prompts as prompt_parts
from cactusstile.gateway.peers import load_channel
from cactusstile.gateway.peers import load_relays
from cactusstile.gateway.peers import load_table
from cactusstile.sites import messages

if typing.TYPE_CHECKING:
    from cactusstile.gateway.peers import datagrams

# Shortest time between two messages to the gateways that report to a relay.
# Each wakes all of them, whether or not they have a prompt to place.
SITE_INTERVAL_S = 0.04
# Silence after which a gateway reports to another relay: longer than a relay
# that repeats an unchanged load is silent.
RELAY_SILENCE_S = 0.6
# Time after which a silent relay is tried again.
RELAY_RETRY_S = 5.0
# Reports that are remembered until a relay has included them.
MAX_SENT_REPORTS = 64
# Greatest count that a message carries.
MAX_COUNT = 2**32 - 1


@attrs.frozen
class Outgoing:
    """A message and the addresses that it is sent to."""

    message: datagrams.LoadMessage
    receivers: tuple[str, ...]


@attrs.frozen
class _Reporter:
    """A gateway that reports to this relay.

    Attributes:
      sequence: Number of its last report.
      received_at_s: Loop time at which that report arrived.
    """

    sequence: int
    received_at_s: float


class LoadSharing:
    """State of one gateway's exchange of loads.

    Attributes:
      site: Local view of the site; its targets receive the others' loads.
      own: This gateway.
      topology: Relays of the gateways that `site` lists.
      relay: Relay that this gateway reports to; empty if it is a relay.
      reporters: Gateways that report to this relay, by address.
      changed: Set once there is something new to tell.
    """

    def __init__(
        self, site: site_view.SiteView, own: messages.GatewayMember
    ) -> None:
        """Shares the loads in `site` as the gateway `own`."""
        self.site = site
        self.own = own
        self.topology = load_relays.Topology()
        self.relay = ""
        self.reporters: dict[str, _Reporter] = {}
        self.changed = anyio.Event()
        self._members: tuple[messages.GatewayMember, ...] | None = None
        self._preferred_relays: tuple[str, ...] = ()
        self._reported = load_table.LoadTable()
        self._relay_heard_s = float("-inf")
        self._silent_until_s: dict[str, float] = {}
        self._sequence = 0
        self._sent_reports: collections.OrderedDict[int, load_table.Loads] = (
            collections.OrderedDict()
        )
        self._to_relays = load_channel.Channel()
        self._to_reporters = load_channel.Channel()

    @property
    def is_relay(self) -> bool:
        """Whether this gateway is a relay."""
        return self.own.address in self.topology.addresses()

    def peer_count(self) -> int:
        """Returns the number of gateways that a relay exchanges loads with.

        It is the same for all gateways, so that those who report to a relay
        do not send more often than it can handle.
        """
        relays = len(self.topology.relays)
        if not relays:
            return 0
        others = len(self._members or ()) - relays
        return relays - 1 + math.ceil(others / relays)

    def announce_load(self) -> None:
        """Lets the next round begin at once, as a load has changed."""
        self.changed.set()

    def has_prompts(self) -> bool:
        """Returns whether announcements wait for the next datagram."""
        return bool(self._to_relays.prompts.prompts)

    def queue_prompt(
        self, target: str, salt: str, prompt: prompt_parts.Prompt
    ) -> None:
        """Queues the announcement of a prompt for the next datagram.

        A prompt with many or long parts is not announced; it may be recomputed.
        """
        parts = tuple(
            messages.SentPart(part.id, part.tokens) for part in prompt.parts
        )
        sent = messages.SentPrompt(target, salt, parts)
        if (
            not parts
            or load_channel.prompt_bytes(sent) > load_channel.MAX_PROMPT_BYTES
        ):
            return
        self._to_relays.prompts.add(sent)
        if self.reporters:
            self._to_reporters.prompts.add(sent)

    def queue_fetch(self, observed: messages.ObservedFetch) -> None:
        """Queues an observed fetch for the next datagram."""
        self._to_relays.fetches.append(observed)
        if self.reporters:
            self._to_reporters.fetches.append(observed)

    def collect(self, now_s: float) -> list[Outgoing]:
        """Returns the messages that are due."""
        self.changed = anyio.Event()
        self._update_topology(now_s)
        oldest_s = now_s - target_view.PEER_REPORT_MAX_AGE_S
        self.site.targets.peer_loads.expire(oldest_s)
        self._reported.expire(oldest_s)
        for gateway, reporter in list(self.reporters.items()):
            if reporter.received_at_s < oldest_s:
                del self.reporters[gateway]
        own_loads = self.own_loads()
        if not self.is_relay:
            return self._collect_report(own_loads, now_s)
        outgoing = self._collect_relayed(own_loads, now_s)
        outgoing += self._collect_site(own_loads, now_s)
        return outgoing

    def receive(self, message: datagrams.LoadMessage, now_s: float) -> None:
        """Applies a message of another gateway."""
        if isinstance(message, messages.SiteLoad):
            self._receive_site(message, now_s)
            return
        if not self.is_relay:
            return
        loads = _decode_loads(message.targets)
        if isinstance(message, messages.GatewayLoad):
            sender = message.gateway
            self.reporters[sender] = _Reporter(message.sequence, now_s)
            self._reported.replace(sender, loads, now_s)
            self.changed.set()
        else:
            sender = message.relay
        self.site.targets.peer_loads.replace(sender, loads, now_s)
        self._apply_announcements(message, now_s)
        if isinstance(message, messages.GatewayLoad):
            _forward(message, self._to_relays)
        if self.reporters:
            _forward(message, self._to_reporters)

    def _apply_announcements(
        self, message: datagrams.LoadMessage, now_s: float
    ) -> None:
        self.site.record_peer_prompts(message.prompts, now_s)
        for observed in message.fetches:
            self.site.stored.costs.apply(observed, now_s)

    def own_loads(self) -> dict[str, load_table.Load]:
        """Returns this gateway's load on each target with open requests."""
        loads = {}
        for view in self.site.targets.views.values():
            if not view.inflight:
                continue
            loads[view.target.id] = load_table.Load(
                view.inflight, max(0, view.unread_tokens), max(0, view.tokens)
            )
        return loads

    def _update_topology(self, now_s: float) -> None:
        if self.site.gateways is not self._members:
            self._apply_members(self.site.gateways, now_s)
        if self.is_relay:
            return
        if now_s - self._relay_heard_s > RELAY_SILENCE_S:
            self._silent_until_s[self.relay] = now_s + RELAY_RETRY_S
            self._choose_relay(now_s)
        elif self._silent_until_s.get(self._preferred_relays[0], now_s) < now_s:
            self._choose_relay(now_s)

    def _apply_members(
        self, members: tuple[messages.GatewayMember, ...], now_s: float
    ) -> None:
        was_relay = self.is_relay
        self._members = members
        self.topology = load_relays.build({*members, self.own})
        self._preferred_relays = self.topology.preferred_relays(self.own)
        if self.is_relay != was_relay:
            # What was received in the other role may be counted twice.
            self.site.targets.peer_loads.clear()
            self._reported.clear()
            self.reporters.clear()
        self._choose_relay(now_s)

    def _choose_relay(self, now_s: float) -> None:
        """Chooses the first relay that is not known to be silent."""
        self._relay_heard_s = now_s
        self.relay = ""
        if self.is_relay:
            return
        self.relay = self._preferred_relays[0]
        for relay in self._preferred_relays:
            if self._silent_until_s.get(relay, now_s) <= now_s:
                self._silent_until_s.pop(relay, None)
                self.relay = relay
                return

    def _collect_report(
        self, own_loads: dict[str, load_table.Load], now_s: float
    ) -> list[Outgoing]:
        """Returns this gateway's report to its relay, if it is due."""
        if not self._to_relays.is_due(own_loads, now_s):
            return []
        announced = self._to_relays.record(own_loads, now_s)
        self._sequence += 1
        self._sent_reports[self._sequence] = own_loads
        if len(self._sent_reports) > MAX_SENT_REPORTS:
            self._sent_reports.popitem(last=False)
        message = messages.GatewayLoad(
            self.own.address,
            self._sequence,
            _encode_loads(own_loads),
            announced.prompts,
            announced.fetches,
        )
        return [Outgoing(message, (self.relay,))]

    def _collect_relayed(
        self, own_loads: dict[str, load_table.Load], now_s: float
    ) -> list[Outgoing]:
        """Returns this relay's message to the other relays, if it is due."""
        loads = load_table.add(self._reported.totals, own_loads)
        if not self._to_relays.is_due(loads, now_s):
            return []
        announced = self._to_relays.record(loads, now_s)
        message = messages.RelayedLoad(
            self.own.address,
            _encode_loads(loads),
            announced.prompts,
            announced.fetches,
        )
        receivers = tuple(
            relay
            for relay in self.topology.addresses()
            if relay != self.own.address
        )
        return [Outgoing(message, receivers)] if receivers else []

    def _collect_site(
        self, own_loads: dict[str, load_table.Load], now_s: float
    ) -> list[Outgoing]:
        """Returns this relay's message to its reporters, if it is due."""
        if not self.reporters:
            return []
        totals = self.site.targets.peer_loads.totals
        loads = load_table.add(totals, own_loads)
        if not self._to_reporters.is_due(loads, now_s):
            return []
        if now_s - self._to_reporters.sent_at_s < SITE_INTERVAL_S:
            self.changed.set()
            return []
        announced = self._to_reporters.record(loads, now_s)
        included = tuple(
            messages.IncludedReport(gateway, reporter.sequence)
            for gateway, reporter in self.reporters.items()
        )
        message = messages.SiteLoad(
            self.own.address,
            _encode_loads(loads),
            included,
            announced.prompts,
            announced.fetches,
        )
        return [Outgoing(message, tuple(self.reporters))]

    def _receive_site(self, message: messages.SiteLoad, now_s: float) -> None:
        """Applies the load of the whole site, less this gateway's own."""
        if message.relay != self.relay:
            return
        self._relay_heard_s = now_s
        loads = _decode_loads(message.targets)
        for report in message.included:
            if report.gateway == self.own.address:
                own_loads = self._sent_reports.get(report.sequence, {})
                loads = load_table.add(loads, own_loads, -1)
        table = self.site.targets.peer_loads
        table.clear()
        table.replace(message.relay, loads, now_s)
        self._apply_announcements(message, now_s)


def _forward(
    message: datagrams.LoadMessage, channel: load_channel.Channel
) -> None:
    """Queues the announcements of a message on a channel."""
    for prompt in message.prompts:
        channel.prompts.add(prompt)
    channel.fetches.extend(message.fetches)


def _encode_loads(loads: load_table.Loads) -> tuple[messages.TargetLoad, ...]:
    return tuple(
        messages.TargetLoad(
            target,
            _bound(load.inflight),
            _bound(load.unread_tokens),
            _bound(load.tokens),
        )
        for target, load in loads.items()
    )


def _bound(count: int) -> int:
    """Returns a count within the range that a message carries."""
    return min(max(0, count), MAX_COUNT)


def _decode_loads(
    targets: tuple[messages.TargetLoad, ...],
) -> dict[str, load_table.Load]:
    return {
        load.id: load_table.Load(load.inflight, load.unread_tokens, load.tokens)
        for load in targets
    }
