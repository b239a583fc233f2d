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
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    from cactusstile.transport import incoming
    from cactusstile.transport import messages as transport_messages

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0
STALE_AFTER_S = 3.0
MAX_CHILDREN = 32
MAX_DELTAS = 256
MAX_DELTA_BYTES = 1024 * 1024
MAX_NAMED = 16
MAX_NAME_LENGTH = 128

FULL = "full"
REDIRECT = "redirect"
STALE = "stale"


@attrs.define
class _Child:
    """A subscriber that hangs on this process.

    Attributes:
      relay_address: Where it serves children; empty if it does not.
      report: Its last report; None before the first.
    """

    relay_address: str
    report: feed_messages.FeedReport | None = None


class Relay:
    """What one process knows of the configuration and passes on.

    Attributes:
      name: Name of this process.
      is_agent: Whether this process is an agent.
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
        redirects_leaves: bool = False,
    ) -> None:
        """Starts without a fleet."""
        self.name = name
        self.is_agent = is_agent
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

    def reset(self, fleet: model.Fleet, digest: int) -> None:
        """Takes over a whole fleet."""
        self._deltas.clear()
        self._delta_bytes = 0
        self._move(fleet, digest)

    def _move(self, fleet: model.Fleet, digest: int) -> None:
        self.fleet = fleet
        self.digest = digest
        self._whole = None
        self._wake()
        self._note_report()

    def take_beacon(self, number: int, revision: int) -> bool:
        """Notes a beacon, unless this process lags behind its revision.

        Returns:
          Whether the beacon moved.
        """
        if number <= self.beacon or self.fleet.revision < revision:
            return False
        self.beacon = number
        self.fresh_at_s = anyio.current_time()
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
        child = _Child(subscribe.relay_address)
        self._children[subscribe.name] = child
        self._note_report()
        try:
            await self._feed(responder, subscribe.revision)
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
        self, responder: incoming.Responder, revision: int
    ) -> typing.NoReturn:
        while True:
            changed = self.changed
            for item in self._items_after(revision):
                await responder.send(item)
                self.sent_bytes += len(item.body)
                revision = item.revision
            if self.fleet.revision > revision:
                continue
            heartbeat = feed_messages.FeedHeartbeat(
                self.fleet.revision, self.beacon
            )
            await responder.send(heartbeat)
            with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                await changed.wait()

    def _items_after(self, revision: int) -> list[messages.FeedDelta]:
        """Returns the changes after `revision`, or the whole fleet."""
        if revision >= self.fleet.revision:
            return []
        for position, change in enumerate(self._deltas):
            if change.base_revision == revision:
                return list(self._deltas)[position:]
        return [self.whole()]

    def whole(self) -> messages.FeedDelta:
        """Returns the fleet as one message, packed once a revision."""
        if self._whole is None:
            change = delta.between(model.Fleet(), self.fleet)
            self._whole = messages.FeedDelta(
                0,
                self.fleet.revision,
                encoding.digest_bytes(self.digest),
                delta.pack(change),
                whole=True,
            )
        return self._whole

    def take_report(
        self,
        peer: transport_messages.Hello,
        report: feed_messages.FeedReport,
    ) -> None:
        """Notes what a child says about its subtree; a notice handler."""
        child = self._children.get(report.name)
        if child is None or len(report.missing) > MAX_NAMED:
            logger.debug("ignored a report of %s", peer.name)
            return
        child.report = report
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

    def report(self) -> feed_messages.FeedReport:
        """Returns what this process tells its own parent."""
        revision = self.fleet.revision
        found = self.in_force(revision)
        return feed_messages.FeedReport(
            self.name,
            revision,
            found.nodes,
            found.agents,
            found.current,
            found.missing,
        )

    def children(self) -> list[str]:
        """Returns the names of the children."""
        return list(self._children)
