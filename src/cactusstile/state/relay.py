"""Parent side of the delivery tree: forwards fleet changes to children."""

from __future__ import annotations

import collections
import logging
import typing

import anyio
import attrs

from cactusstile.control import feed_messages
from cactusstile.control import messages
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    from cactusstile.transport import incoming
    from cactusstile.transport import messages as transport_messages

logger = logging.getLogger(__name__)

# Less than two beacon intervals of the leader, to forward every second beacon.
HEARTBEAT_INTERVAL_S = 0.7
COALESCE_INTERVAL_S = 1.0
STALE_AFTER_S = 3.0
CHILD_SILENCE_LIMIT_S = 30.0
MAX_CHILDREN = 32
MAX_DELTAS = 256
MAX_DELTA_BYTES = 1024 * 1024
MAX_MISSING_NAMES = 16
MAX_AGENT_NAMES = 65_536
MAX_NAME_LENGTH = 128

FULL = "full"
REDIRECT = "redirect"
STALE = "stale"
SILENT = "silent"


@attrs.define
class _Child:
    """A subscriber of this process.

    Attributes:
      relay_address: Address where it serves children; empty if it does not.
      last_seen_s: Loop time of its last report, or of the subscription.
      report: Last report; None before the first.
      agent_names: Names of the targets whose agents are in its subtree.
    """

    relay_address: str
    last_seen_s: float
    report: feed_messages.FeedReport | None = None
    agent_names: frozenset[str] = frozenset()

    def check_last_seen(self, now_s: float) -> None:
        """Raises `RemoteError` if the child has not reported recently."""
        if now_s > self.last_seen_s + CHILD_SILENCE_LIMIT_S:
            raise transport_exceptions.RemoteError(SILENT, "no reports")


class Relay:
    """Fleet of one process, forwarded to its children.

    Attributes:
      name: Name of this process.
      is_agent: Whether this process is an agent.
      target: Name of the target that this process manages.
      fleet: Fleet of this process.
      digest: Content digest of the fleet.
      beacon: Last beacon of the leader, each confirmed by a quorum.
      fresh_at_s: Loop time when `beacon` last increased.
      sent_bytes: Payload bytes sent to children.
      redirects_leaves: Whether leaves, which are subscribers that serve no
        children, are redirected to relays.
      changed: Event set, and renewed, on a new fleet or forwarded beacon.
      reported: Event set, and renewed, when the report to the parent changes.
    """

    def __init__(
        self,
        name: str,
        *,
        is_agent: bool = False,
        target: str = "",
        redirects_leaves: bool = False,
    ) -> None:
        """Starts with an empty fleet."""
        self.name = name
        self.is_agent = is_agent
        self.target = target or name
        self.redirects_leaves = redirects_leaves
        self.fleet = model.Fleet()
        self.digest = encoding.content_digest(self.fleet)
        self.beacon = 0
        self.fresh_at_s = float("-inf")
        self.sent_bytes = 0
        self.changed = anyio.Event()
        self.reported = anyio.Event()
        self._deltas: collections.deque[messages.FeedDelta] = (
            collections.deque()
        )
        self._delta_bytes = 0
        self._full_delta: messages.FeedDelta | None = None
        self._merged_delta: messages.FeedDelta | None = None
        self._last_encoded: tuple[object, bytes] = (None, b"")
        self._pack_lock = anyio.Lock()
        self._forwarded_beacon = 0
        self._forwarded_at_s = float("-inf")
        self._children: dict[str, _Child] = {}

    @property
    def is_fresh(self) -> bool:
        """Whether a quorum has confirmed this state recently."""
        age_s = anyio.current_time() - self.fresh_at_s
        return age_s < STALE_AFTER_S

    def publish(
        self, change: messages.FeedDelta, fleet: model.Fleet, digest: int
    ) -> None:
        """Sends the children a change that leads to `fleet`."""
        self._deltas.append(change)
        self._delta_bytes += len(change.body)
        while (
            len(self._deltas) > MAX_DELTAS
            or self._delta_bytes > MAX_DELTA_BYTES
        ):
            self._delta_bytes -= len(self._deltas.popleft().body)
        self._set_fleet(fleet, digest)

    def reset(
        self,
        fleet: model.Fleet,
        digest: int,
        whole: messages.FeedDelta | None = None,
    ) -> None:
        """Replaces the fleet; `whole` is its message if already packed."""
        self._deltas.clear()
        self._delta_bytes = 0
        self._full_delta = whole
        self._set_fleet(fleet, digest)

    def _set_fleet(self, fleet: model.Fleet, digest: int) -> None:
        self.fleet = fleet
        self.digest = digest
        self._signal_change()
        self._signal_report()

    def accept_beacon(self, number: int, revision: int) -> bool:
        """Records a newer beacon unless this process lags behind its revision.

        Forwards the beacon to children immediately if the last one was
        forwarded at least `HEARTBEAT_INTERVAL_S` ago.

        Returns:
          Whether the beacon was recorded.
        """
        if number <= self.beacon or self.fleet.revision < revision:
            return False
        self.beacon = number
        self.fresh_at_s = anyio.current_time()
        if self.fresh_at_s >= self._forwarded_at_s + HEARTBEAT_INTERVAL_S:
            self._forwarded_at_s = self.fresh_at_s
            self._forwarded_beacon = number
            self._signal_change()
        return True

    def _signal_change(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _signal_report(self) -> None:
        self.reported.set()
        self.reported = anyio.Event()

    async def serve(
        self,
        responder: incoming.Responder,
        subscribe: feed_messages.Subscribe,
    ) -> object:
        """Sends a child all changes after its revision.

        Raises:
          RemoteError: If this process has no room, redirects leaves to relays,
            or is partitioned from the quorum. The detail lists the addresses
            of other parents to try.
        """
        self._admit(subscribe)
        responder.pings = False
        child = _Child(subscribe.relay_address, anyio.current_time())
        self._children[subscribe.name] = child
        self._signal_report()
        try:
            await self._feed(responder, child, subscribe.revision)
        finally:
            if self._children.get(subscribe.name) is child:
                del self._children[subscribe.name]
                self._signal_report()

    def _admit(self, subscribe: feed_messages.Subscribe) -> None:
        if not 0 < len(subscribe.name) <= MAX_NAME_LENGTH:
            raise transport_exceptions.RemoteError("bad_request", "no name")
        if not self.is_fresh:
            raise transport_exceptions.RemoteError(
                STALE, f"{self.name} is partitioned from the quorum"
            )
        is_known_child = subscribe.name in self._children
        relays = [
            child.relay_address
            for name, child in self._children.items()
            if child.relay_address and name != subscribe.name
        ]
        others = ",".join(relays)
        is_leaf = not subscribe.relay_address and not subscribe.relays_full
        if self.redirects_leaves and relays and is_leaf:
            raise transport_exceptions.RemoteError(
                REDIRECT, "subscribe to a relay instead", others
            )
        if len(self._children) >= MAX_CHILDREN and not is_known_child:
            raise transport_exceptions.RemoteError(
                FULL, f"{self.name} already has {MAX_CHILDREN} children", others
            )

    async def _feed(
        self, responder: incoming.Responder, child: _Child, revision: int
    ) -> typing.NoReturn:
        sent_beacon = 0
        next_change_s = float("-inf")
        while True:
            changed = self.changed
            now_s = anyio.current_time()
            beacon_moved = self._forwarded_beacon > sent_beacon
            is_behind = self.fleet.revision > revision
            if is_behind and (beacon_moved or now_s >= next_change_s):
                item = await self._change_after(revision)
                await self._send(responder, item)
                revision = item.revision
                if not item.whole:
                    next_change_s = now_s + COALESCE_INTERVAL_S
                continue
            if beacon_moved:
                child.check_last_seen(now_s)
                sent_beacon = self._forwarded_beacon
                heartbeat = feed_messages.FeedHeartbeat(revision, self.beacon)
                await self._send(responder, heartbeat)
                continue
            wait_s = next_change_s - now_s if is_behind else None
            with anyio.move_on_after(wait_s):
                await changed.wait()

    async def _send(
        self,
        responder: incoming.Responder,
        item: messages.FeedDelta | feed_messages.FeedHeartbeat,
    ) -> None:
        """Sends an item, encoded once for consecutive children."""
        last, payload = self._last_encoded
        if last is not item and last != item:
            payload = codec.encode(item)
            self._last_encoded = (item, payload)
        await responder.send(item, payload)
        if isinstance(item, messages.FeedDelta):
            self.sent_bytes += len(item.body)

    async def _change_after(self, revision: int) -> messages.FeedDelta:
        """Returns a change from `revision` to a later one.

        The result may lead to a revision before the present one.
        """
        missed = [item for item in self._deltas if item.revision > revision]
        if missed and missed[0].base_revision <= revision:
            return self._merge(missed)
        whole = self._full_delta
        if whole is not None and (
            whole.revision == self.fleet.revision
            or (missed and missed[0].base_revision <= whole.revision)
        ):
            return whole
        return await self.whole()

    def _merge(self, changes: list[messages.FeedDelta]) -> messages.FeedDelta:
        """Merges changes into one; the last result is cached."""
        if len(changes) == 1:
            return changes[0]
        first, last = changes[0], changes[-1]
        cached = self._merged_delta
        if (
            cached is None
            or cached.base_revision != first.base_revision
            or cached.revision != last.revision
        ):
            merged = delta.compose(delta.unpack(item.body) for item in changes)
            cached = messages.FeedDelta(
                first.base_revision,
                last.revision,
                last.digest,
                delta.pack(merged),
            )
            self._merged_delta = cached
        return cached

    async def whole(self) -> messages.FeedDelta:
        """Returns the complete fleet as a message, packed once per revision."""
        async with self._pack_lock:
            cached = self._full_delta
            if cached is not None and cached.revision == self.fleet.revision:
                return cached
            fleet, digest = self.fleet, self.digest
            packed = messages.FeedDelta(
                0,
                fleet.revision,
                encoding.digest_bytes(digest),
                await delta.pack_fleet(fleet),
                whole=True,
            )
            self._full_delta = packed
            return packed

    def accept_report(
        self,
        peer: transport_messages.Hello,
        report: feed_messages.FeedReport,
    ) -> None:
        """Records a child's report about its subtree; a notice handler."""
        child = self._children.get(report.name)
        too_many = (
            len(report.missing) > MAX_MISSING_NAMES
            or len(report.agent_names) > MAX_AGENT_NAMES
        )
        if child is None or too_many:
            logger.debug("ignored a report from %s", peer.name)
            return
        if report.has_agent_names:
            child.agent_names = frozenset(report.agent_names)
        child.report = attrs.evolve(report, agent_names=())
        child.last_seen_s = anyio.current_time()
        self._signal_report()

    def in_force(self, revision: int) -> feed_messages.InForce:
        """Returns in which processes of the subtree `revision` is in force."""
        nodes, agents, current = 1, int(self.is_agent), 0
        missing: list[str] = []
        if self.fleet.revision >= revision:
            current = 1
        else:
            missing.append(self.name)
        for name, child in self._children.items():
            report = child.report
            if report is None:
                nodes += 1
                missing.append(name)
                continue
            nodes += report.nodes
            agents += report.agents
            if report.revision >= revision:
                current += report.current
                missing += report.missing
                continue
            missing.append(name)
        return feed_messages.InForce(
            nodes, agents, current, tuple(missing[:MAX_MISSING_NAMES])
        )

    def report(
        self, agent_names: frozenset[str] | None = None
    ) -> feed_messages.FeedReport:
        """Returns the report of this process to its parent.

        Args:
          agent_names: Names of the agents' targets; None to omit them.
        """
        revision = self.fleet.revision
        coverage = self.in_force(revision)
        return feed_messages.FeedReport(
            self.name,
            revision,
            coverage.nodes,
            coverage.agents,
            coverage.current,
            coverage.missing,
            tuple(sorted(agent_names or ())),
            agent_names is not None,
        )

    def agent_names(self) -> frozenset[str]:
        """Returns the names of the targets whose agents are in the subtree."""
        own = frozenset((self.target,)) if self.is_agent else frozenset()
        below = (child.agent_names for child in self._children.values())
        return own.union(*below)

    def children(self) -> list[str]:
        """Returns the names of the children."""
        return list(self._children)
