"""Parent's side of the delivery tree: passes changes on to children."""

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

# Less than two beacons of the leader apart, so that each second one passes.
HEARTBEAT_INTERVAL_S = 0.7
COALESCE_INTERVAL_S = 1.0
STALE_AFTER_S = 3.0
CHILD_SILENCE_LIMIT_S = 30.0
MAX_CHILDREN = 32
MAX_DELTAS = 256
MAX_DELTA_BYTES = 1024 * 1024
MAX_NAMED = 16
MAX_AGENT_NAMES = 65_536
MAX_NAME_LENGTH = 128

FULL = "full"
REDIRECT = "redirect"
STALE = "stale"
SILENT = "silent"


@attrs.define
class _Child:
    """A subscriber that hangs on this process.

    Attributes:
      relay_address: Where it serves children; empty if it does not.
      heard_at_s: Time on the loop's clock when it was heard last.
      report: Its last report; None before the first.
      agent_names: Targets of the agents in its subtree.
    """

    relay_address: str
    heard_at_s: float
    report: feed_messages.FeedReport | None = None
    agent_names: frozenset[str] = frozenset()

    def check_heard(self, now_s: float) -> None:
        """Raises `RemoteError` if the child has been silent for too long."""
        if now_s > self.heard_at_s + CHILD_SILENCE_LIMIT_S:
            raise transport_exceptions.RemoteError(SILENT, "no reports")


class Relay:
    """What one process knows of the configuration and passes on.

    Attributes:
      name: Name of this process.
      is_agent: Whether this process is an agent.
      target: Name of the target that it stands beside.
      fleet: The fleet that it holds.
      digest: Content digest of the fleet.
      beacon: Last beacon of the leader.
      fresh_at_s: Time on the loop's clock when the beacon moved last.
      sent_bytes: Payload bytes sent to children.
      redirects_leaves: Whether subscribers that serve no children are sent
        on to relays.
    """

    def __init__(
        self,
        name: str,
        *,
        is_agent: bool = False,
        target: str = "",
        redirects_leaves: bool = False,
    ) -> None:
        """Starts without a fleet."""
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
        self._whole: messages.FeedDelta | None = None
        self._gathered: messages.FeedDelta | None = None
        self._encoded: tuple[object, bytes] = (None, b"")
        self._packing = anyio.Lock()
        self._passed_on = 0
        self._passed_on_s = float("-inf")
        self._children: dict[str, _Child] = {}

    @property
    def is_fresh(self) -> bool:
        """Whether a quorum stood behind this state a moment ago."""
        age_s = anyio.current_time() - self.fresh_at_s
        return age_s < STALE_AFTER_S

    def publish(
        self, change: messages.FeedDelta, fleet: model.Fleet, digest: int
    ) -> None:
        """Puts a change that led to `fleet` before the children."""
        self._deltas.append(change)
        self._delta_bytes += len(change.body)
        while (
            len(self._deltas) > MAX_DELTAS
            or self._delta_bytes > MAX_DELTA_BYTES
        ):
            self._delta_bytes -= len(self._deltas.popleft().body)
        self._move(fleet, digest)

    def reset(
        self,
        fleet: model.Fleet,
        digest: int,
        whole: messages.FeedDelta | None = None,
    ) -> None:
        """Takes over a whole fleet; `whole` is its message, if there is one."""
        self._deltas.clear()
        self._delta_bytes = 0
        self._whole = whole
        self._move(fleet, digest)

    def _move(self, fleet: model.Fleet, digest: int) -> None:
        self.fleet = fleet
        self.digest = digest
        self._wake()
        self._note_report()

    def accept_beacon(self, number: int, revision: int) -> bool:
        """Notes a beacon, unless this process lags behind its revision.

        Children learn of it at once, but not sooner than
        `HEARTBEAT_INTERVAL_S` after the one before.

        Returns:
          Whether the beacon moved.
        """
        if number <= self.beacon or self.fleet.revision < revision:
            return False
        self.beacon = number
        self.fresh_at_s = anyio.current_time()
        if self.fresh_at_s >= self._passed_on_s + HEARTBEAT_INTERVAL_S:
            self._passed_on_s = self.fresh_at_s
            self._passed_on = number
            self._wake()
        return True

    def _wake(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()

    def _note_report(self) -> None:
        self.reported.set()
        self.reported = anyio.Event()

    async def serve(
        self,
        responder: incoming.Responder,
        subscribe: feed_messages.Subscribe,
    ) -> object:
        """Sends a child all changes after the revision that it holds.

        Raises:
          RemoteError: With the addresses of other parents as detail, if this
            process is full, leaves leaves to relays, or is cut off itself.
        """
        self._admit(subscribe)
        responder.pings = False
        child = _Child(subscribe.relay_address, anyio.current_time())
        self._children[subscribe.name] = child
        self._note_report()
        try:
            await self._feed(responder, child, subscribe.revision)
        finally:
            if self._children.get(subscribe.name) is child:
                del self._children[subscribe.name]
                self._note_report()

    def _admit(self, subscribe: feed_messages.Subscribe) -> None:
        if not 0 < len(subscribe.name) <= MAX_NAME_LENGTH:
            raise transport_exceptions.RemoteError("bad_request", "no name")
        if not self.is_fresh:
            raise transport_exceptions.RemoteError(
                STALE, f"{self.name} is cut off from the quorum"
            )
        known = subscribe.name in self._children
        relays = [
            child.relay_address
            for name, child in self._children.items()
            if child.relay_address and name != subscribe.name
        ]
        others = ",".join(relays)
        is_leaf = not subscribe.relay_address and not subscribe.relays_full
        if self.redirects_leaves and relays and is_leaf:
            raise transport_exceptions.RemoteError(
                REDIRECT, "relays serve this one", others
            )
        if len(self._children) >= MAX_CHILDREN and not known:
            raise transport_exceptions.RemoteError(
                FULL, f"{self.name} has {MAX_CHILDREN} children", others
            )

    async def _feed(
        self, responder: incoming.Responder, child: _Child, revision: int
    ) -> typing.NoReturn:
        passed_on = 0
        free_at_s = float("-inf")
        while True:
            changed = self.changed
            now_s = anyio.current_time()
            beacon_moved = self._passed_on > passed_on
            is_behind = self.fleet.revision > revision
            if is_behind and (beacon_moved or now_s >= free_at_s):
                item = await self._change_after(revision)
                await self._send(responder, item)
                revision = item.revision
                if not item.whole:
                    free_at_s = now_s + COALESCE_INTERVAL_S
                continue
            if beacon_moved:
                child.check_heard(now_s)
                passed_on = self._passed_on
                heartbeat = feed_messages.FeedHeartbeat(revision, self.beacon)
                await self._send(responder, heartbeat)
                continue
            wait_s = free_at_s - now_s if is_behind else None
            with anyio.move_on_after(wait_s):
                await changed.wait()

    async def _send(
        self,
        responder: incoming.Responder,
        item: messages.FeedDelta | feed_messages.FeedHeartbeat,
    ) -> None:
        """Sends an item; what goes to many children is encoded once."""
        last, payload = self._encoded
        if last is not item and last != item:
            payload = codec.encode(item)
            self._encoded = (item, payload)
        await responder.send(item, payload)
        if isinstance(item, messages.FeedDelta):
            self.sent_bytes += len(item.body)

    async def _change_after(self, revision: int) -> messages.FeedDelta:
        """Returns one change that leads on from `revision`.

        It may stop short of the present revision.
        """
        missed = [one for one in self._deltas if one.revision > revision]
        if missed and missed[0].base_revision <= revision:
            return self._gather(missed)
        whole = self._whole
        if whole is not None and (
            whole.revision == self.fleet.revision
            or (missed and missed[0].base_revision <= whole.revision)
        ):
            return whole
        return await self.whole()

    def _gather(self, changes: list[messages.FeedDelta]) -> messages.FeedDelta:
        """Returns one change in place of many; the last result is kept."""
        if len(changes) == 1:
            return changes[0]
        first, last = changes[0], changes[-1]
        kept = self._gathered
        if (
            kept is None
            or kept.base_revision != first.base_revision
            or kept.revision != last.revision
        ):
            both = delta.compose(delta.unpack(one.body) for one in changes)
            kept = messages.FeedDelta(
                first.base_revision,
                last.revision,
                last.digest,
                delta.pack(both),
            )
            self._gathered = kept
        return kept

    async def whole(self) -> messages.FeedDelta:
        """Returns the fleet as one message, packed once a revision."""
        async with self._packing:
            kept = self._whole
            if kept is not None and kept.revision == self.fleet.revision:
                return kept
            fleet, digest = self.fleet, self.digest
            packed = messages.FeedDelta(
                0,
                fleet.revision,
                encoding.digest_bytes(digest),
                await delta.pack_fleet(fleet),
                whole=True,
            )
            self._whole = packed
            return packed

    def accept_report(
        self,
        peer: transport_messages.Hello,
        report: feed_messages.FeedReport,
    ) -> None:
        """Notes what a child says about its subtree; a notice handler."""
        child = self._children.get(report.name)
        too_many = (
            len(report.missing) > MAX_NAMED
            or len(report.agent_names) > MAX_AGENT_NAMES
        )
        if child is None or too_many:
            logger.debug("ignored a report of %s", peer.name)
            return
        if report.has_agent_names:
            child.agent_names = frozenset(report.agent_names)
        child.report = attrs.evolve(report, agent_names=())
        child.heard_at_s = anyio.current_time()
        self._note_report()

    def in_force(self, revision: int) -> feed_messages.InForce:
        """Returns where `revision` is in force, here and below."""
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
            nodes, agents, current, tuple(missing[:MAX_NAMED])
        )

    def report(
        self, agent_names: frozenset[str] | None = None
    ) -> feed_messages.FeedReport:
        """Returns what this process tells its own parent.

        Args:
          agent_names: Names of the agents, if they are to be told.
        """
        revision = self.fleet.revision
        found = self.in_force(revision)
        return feed_messages.FeedReport(
            self.name,
            revision,
            found.nodes,
            found.agents,
            found.current,
            found.missing,
            tuple(sorted(agent_names or ())),
            agent_names is not None,
        )

    def agent_names(self) -> frozenset[str]:
        """Returns the targets whose agents are here and below."""
        own = frozenset((self.target,)) if self.is_agent else frozenset()
        below = (child.agent_names for child in self._children.values())
        return own.union(*below)

    def children(self) -> list[str]:
        """Returns the names of the children."""
        return list(self._children)
