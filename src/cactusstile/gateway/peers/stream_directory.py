"""Remembers where streams began, for callers that resume them elsewhere.

A caller whose stream was interrupted sends a new request, often to another
gateway, since the first one may have ended. The stream may go on only at a
target of the build that began it. Each gateway therefore tells two others, its
owners by consistent hashing of the stream's id, where a stream began, before it
passes on the first event; any gateway finds the owners by the id.

The module does no I/O; messages that it sends may be lost.
"""

from __future__ import annotations

import bisect
import collections
import collections.abc
import hashlib
import itertools

import anyio
import attrs

from cactusstile.gateway import retries
from cactusstile.gateway import site_view
from cactusstile.sites import messages
from cactusstile.sites import stream_messages

Message = stream_messages.BegunStreams | stream_messages.FindStream
Send = collections.abc.Callable[[Message, str], None]

# Longer than callers resume a stream after it began.
RETENTION_S = 60.0
MAX_STREAMS = 50_000
# Gateways that are told where a stream began.
OWNERS = 2
# Gateways that are asked; more than own a stream, since the first gateway did
# not tell itself, and lists of gateways may differ for a moment.
ASKED = 4
ANSWER_TIMEOUT_S = 0.05
# Datagrams may be lost.
MAX_QUESTIONS = 2
POINTS_PER_GATEWAY = 16
MAX_STREAMS_PER_MESSAGE = 200
_HASH_BYTES = 8


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=_HASH_BYTES).digest()


class Ring:
    """Consistent hashing of ids over gateways.

    Attributes:
      points: Sorted points on the ring, each with its gateway's address.
    """

    def __init__(self, addresses: collections.abc.Iterable[str]) -> None:
        """Places each of `addresses` at several points."""
        self.points = sorted(
            (_hash(f"{number}/{address}"), address)
            for address in addresses
            for number in range(POINTS_PER_GATEWAY)
        )

    def owners(self, key: str, count: int, without: str) -> list[str]:
        """Returns the first gateways after a key's point.

        Args:
          key: The key.
          count: Number of gateways to return, if there are as many.
          without: Address that is passed over.
        """
        found: list[str] = []
        start = bisect.bisect_left(self.points, (_hash(key), ""))
        places = itertools.chain(range(start, len(self.points)), range(start))
        for place in places:
            address = self.points[place][1]
            if address == without or address in found:
                continue
            found.append(address)
            if len(found) == count:
                break
        return found


@attrs.define
class _Search:
    """A search for the origin of a stream.

    Attributes:
      unanswered: Addresses of the gateways that have not answered.
      ended: Set once the origin is known, or no gateway knows it.
    """

    unanswered: set[str]
    ended: anyio.Event = attrs.field(factory=anyio.Event)


@attrs.frozen
class _Entry:
    """Origin of a stream, with the loop time at which it was recorded."""

    origin: retries.StreamOrigin
    recorded_s: float


class StreamDirectory:
    """Origins of the streams that this gateway began or owns.

    Attributes:
      site: Local view of the site, with the list of gateways.
      send: Sends a message to the gateway with an address.
      entries: Origins by the id of the stream, oldest first.
    """

    def __init__(self, site: site_view.SiteView) -> None:
        """Creates an empty directory that sends nothing yet."""
        self.site = site
        self.send: Send = lambda *_: None
        self.entries: collections.OrderedDict[str, _Entry] = (
            collections.OrderedDict()
        )
        self._searches: dict[str, _Search] = {}
        self._members: tuple[messages.GatewayMember, ...] = ()
        self._ring = Ring(())

    def record(self, stream_id: str, origin: retries.StreamOrigin) -> None:
        """Records where a stream began and tells its owners."""
        if not stream_id:
            return
        self._store(stream_id, origin)
        begun = _encode(stream_id, origin)
        for owner in self._find_owners(stream_id, OWNERS):
            self.send(
                stream_messages.BegunStreams(self.site.own_address, (begun,)),
                owner,
            )

    async def find(self, stream_id: str) -> retries.StreamOrigin | None:
        """Returns where a stream began; None if no gateway knows.

        Waits for the answers of other gateways if this one does not know.
        """
        known = self._lookup(stream_id)
        if known is not None or not stream_id:
            return known
        asked = self._find_owners(stream_id, ASKED)
        if not asked:
            return None
        search = self._searches.setdefault(stream_id, _Search(set(asked)))
        question = stream_messages.FindStream(self.site.own_address, stream_id)
        try:
            for _ in range(MAX_QUESTIONS):
                for owner in tuple(search.unanswered):
                    self.send(question, owner)
                with anyio.move_on_after(ANSWER_TIMEOUT_S):
                    await search.ended.wait()
                    break
        finally:
            if self._searches.get(stream_id) is search:
                del self._searches[stream_id]
        return self._lookup(stream_id)

    def receive(self, message: Message) -> None:
        """Handles a message of another gateway."""
        if isinstance(message, stream_messages.FindStream):
            self._answer(message)
            return
        for begun in message.streams:
            if begun.build or begun.service:
                origin = retries.StreamOrigin(begun.service, begun.build)
                self._store(begun.id, origin)
            search = self._searches.get(begun.id)
            if search is None:
                continue
            search.unanswered.discard(message.gateway)
            if begun.id in self.entries or not search.unanswered:
                search.ended.set()

    def hand_over(self) -> None:
        """Tells other gateways all origins, since this one stops."""
        self._drop_old()
        by_owner: dict[str, list[stream_messages.BegunStream]] = {}
        for stream_id, entry in self.entries.items():
            begun = _encode(stream_id, entry.origin)
            for owner in self._find_owners(stream_id, OWNERS):
                by_owner.setdefault(owner, []).append(begun)
        for owner, streams in by_owner.items():
            for start in range(0, len(streams), MAX_STREAMS_PER_MESSAGE):
                part = tuple(streams[start : start + MAX_STREAMS_PER_MESSAGE])
                self.send(
                    stream_messages.BegunStreams(self.site.own_address, part),
                    owner,
                )

    def _answer(self, question: stream_messages.FindStream) -> None:
        origin = self._lookup(question.id)
        # An empty origin tells that this gateway does not know it.
        begun = _encode(question.id, origin or retries.StreamOrigin("", ""))
        answer = stream_messages.BegunStreams(self.site.own_address, (begun,))
        self.send(answer, question.gateway)

    def _lookup(self, stream_id: str) -> retries.StreamOrigin | None:
        entry = self.entries.get(stream_id)
        return None if entry is None else entry.origin

    def _store(self, stream_id: str, origin: retries.StreamOrigin) -> None:
        """Records an origin unless one is known already."""
        if stream_id in self.entries:
            return
        self.entries[stream_id] = _Entry(origin, anyio.current_time())
        self._drop_old()

    def _drop_old(self) -> None:
        oldest_s = anyio.current_time() - RETENTION_S
        while self.entries:
            oldest = next(iter(self.entries.values()))
            is_old = oldest.recorded_s < oldest_s
            if not is_old and len(self.entries) <= MAX_STREAMS:
                return
            self.entries.popitem(last=False)

    def _find_owners(self, stream_id: str, count: int) -> list[str]:
        if self.site.gateways != self._members:
            self._members = self.site.gateways
            self._ring = Ring(member.address for member in self._members)
        return self._ring.owners(stream_id, count, self.site.own_address)


def _encode(
    stream_id: str, origin: retries.StreamOrigin
) -> stream_messages.BegunStream:
    return stream_messages.BegunStream(stream_id, origin.service, origin.build)
