"""Child side of the delivery tree: keeps the fleet of a node up to date.

    fleet_holder = holder.FleetHolder()
    own_relay = relay.Relay(name, is_agent=True)
    subscriber = subscription.Subscriber(
        fleet_holder, own_relay, pool, control
    )
    group.start_soon(subscriber.run)
    await fleet_holder.confirmed.wait()

A node that serves children registers `own_relay.serve` and
`own_relay.accept_report` as handlers of its server, for
`feed_messages.Subscribe` and `FeedReport`, and passes its own address as
`relay_address`.
"""

from __future__ import annotations

import hashlib
import logging
import random
import typing

import anyio

from cactusstile.control import exceptions
from cactusstile.control import feed_messages
from cactusstile.control import messages
from cactusstile.state import delta
from cactusstile.state import encoding
from cactusstile.state import model
from cactusstile.state import relay
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.control import client
    from cactusstile.state import holder
    from cactusstile.transport import connection

logger = logging.getLogger(__name__)

# Beacons are forwarded on arrival, so the last one is as old as the fault.
SILENCE_LIMIT_S = relay.STALE_AFTER_S - 0.25
AVOID_LOST_S = 5.0
AVOID_REFUSING_S = 1.0
RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 3.2
VERIFY_TIMEOUT_S = 1.0
REPORT_DELAY_S = 0.05
REPORT_INTERVAL_S = 10.0
MAX_REDIRECT_LEVELS = 4
MAX_CANDIDATES = 64


class _ParentLostError(Exception):
    """Raised when the present parent must be abandoned."""


class Subscriber:
    """Follows the configuration over the delivery tree.

    Attributes:
      parent: Address of the present parent; None if there is none.
      changes: Number of parents so far.
      received_bytes: Payload bytes received.
    """

    def __init__(
        self,
        fleet_holder: holder.FleetHolder,
        own_relay: relay.Relay,
        connections: pool.Pool,
        control: client.ControlClient,
        relay_address: address.Address | None = None,
    ) -> None:
        """Updates `fleet_holder` and `own_relay`.

        Args:
          fleet_holder: The node's copy of the fleet.
          own_relay: The node's relay, which also counts the node in reports.
          connections: Pool for all connections.
          control: Client of control, whose addresses are the roots of the tree.
          relay_address: Address at which this node serves children; None if
            it serves none.
        """
        self.parent: address.Address | None = None
        self.changes = 0
        self.received_bytes = 0
        self._fleet_holder = fleet_holder
        self._relay = own_relay
        self._connections = connections
        self._control = control
        self._relay_address = str(relay_address) if relay_address else ""
        self._needs_full = False
        self._relays_full = False
        self._found_parent = anyio.Event()
        self._dial_timeout_s = 2 * pool.DIAL_TIMEOUT_S
        self._avoided: dict[address.Address, float] = {}

    async def run(self) -> None:
        """Follows the configuration until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._confirm)
            pause_s = RETRY_INTERVAL_S
            while True:
                taken = self.changes
                await self._follow_any_parent()
                failed = self.changes == taken
                pause_s = _next_pause(pause_s, failed=failed)
                # A parent is slower to accept when many children start at once.
                self._dial_timeout_s = (1 + failed) * pool.DIAL_TIMEOUT_S
                await anyio.sleep(random.uniform(0, pause_s))

    def age_s(self) -> float:
        """Returns the seconds since a quorum last confirmed this copy."""
        return anyio.current_time() - self._relay.fresh_at_s

    async def _confirm(self) -> None:
        """Sets `confirmed` once the copy has the revision of the quorum.

        Waits for the first parent, then reads the revision until control
        answers.
        """
        await self._found_parent.wait()
        pause_s = RETRY_INTERVAL_S
        while True:
            try:
                latest = await self._control.read_revision()
            except exceptions.ControlError as error:
                logger.debug(
                    "could not confirm the revision; retrying: %s", error
                )
                await anyio.sleep(random.uniform(0, pause_s))
                pause_s = _next_pause(pause_s, failed=True)
                continue
            break
        while self._fleet_holder.fleet.revision < latest.revision:
            await self._relay.changed.wait()
        self._fleet_holder.confirmed.set()

    async def _follow_any_parent(self) -> None:
        """Follows the first parent that accepts, starting from the roots.

        Returns when that parent is lost or no candidate accepts.
        """
        first = candidates = self._rank(self._control.addresses)
        for _ in range(MAX_REDIRECT_LEVELS):
            next_level: list[address.Address] = []
            codes: set[str] = set()
            for candidate in candidates:
                if self._is_avoided(candidate):
                    continue
                try:
                    await self._follow(candidate)
                except transport_exceptions.RemoteError as error:
                    next_level = self._rank(_parse_addresses(error.detail))
                    if next_level:
                        break
                    codes.add(error.code)
                    self._avoid(candidate, error)
                except (
                    _ParentLostError,
                    transport_exceptions.TransportError,
                    TimeoutError,
                ) as error:
                    self._avoid(candidate, error)
                    return
            if not next_level:
                break
            candidates = next_level
        # Relays that have just joined are briefly stale, which is not full.
        self._relays_full = candidates != first and codes != {relay.STALE}
        if all(map(self._is_avoided, self._control.addresses)):
            self._avoided.clear()

    def _rank(
        self, addresses: collections.abc.Iterable[address.Address]
    ) -> list[address.Address]:
        """Sorts addresses by rendezvous hashing with the name of this node."""

        def score(candidate: address.Address) -> bytes:
            text = f"{self._relay.name}|{candidate}"
            return hashlib.blake2b(text.encode(), digest_size=8).digest()

        return sorted(addresses, key=score)

    def _avoid(self, candidate: address.Address, error: Exception) -> None:
        avoid_s = AVOID_LOST_S
        if isinstance(error, transport_exceptions.RemoteError):
            stale = error.code == relay.STALE
            avoid_s = RETRY_INTERVAL_S if stale else AVOID_REFUSING_S
        self._avoided[candidate] = anyio.current_time() + avoid_s
        logger.info("leaving parent %s: %s", candidate, error)

    def _is_avoided(self, candidate: address.Address) -> bool:
        return self._avoided.get(candidate, 0.0) > anyio.current_time()

    async def _follow(self, candidate: address.Address) -> None:
        opened = await self._connections.connect(
            candidate, dial_timeout_s=self._dial_timeout_s
        )
        await opened.verify(VERIFY_TIMEOUT_S)
        revision = 0 if self._needs_full else self._relay.fleet.revision
        subscribe = feed_messages.Subscribe(
            self._relay.name, self._relay_address, revision, self._relays_full
        )
        async with (
            anyio.create_task_group() as group,
            opened.open_stream(subscribe, pings=False) as stream,
        ):
            last_fresh_s = anyio.current_time()
            error: Exception | None = None
            try:
                while True:
                    deadline_s = last_fresh_s + SILENCE_LIMIT_S
                    with anyio.fail_after(deadline_s - anyio.current_time()):
                        item = await anext(stream)
                    if self.parent != candidate:
                        self.parent = candidate
                        self.changes += 1
                        self._found_parent.set()
                        group.start_soon(self._report, opened)
                    if await self._handle_item(item):
                        last_fresh_s = anyio.current_time()
            except (
                _ParentLostError,
                transport_exceptions.TransportError,
                TimeoutError,
                StopAsyncIteration,
            ) as caught:
                error = caught
            self.parent = None
            group.cancel_scope.cancel()
        if isinstance(error, TimeoutError | StopAsyncIteration):
            raise _ParentLostError("no fresh beacon in time") from error
        if error is not None:
            raise error

    async def _handle_item(self, item: object) -> bool:
        """Handles an item; returns whether it is a fresh beacon."""
        if isinstance(item, messages.FeedDelta):
            self.received_bytes += len(item.body)
            await self._apply_change(item)
            return False
        if not isinstance(item, feed_messages.FeedHeartbeat):
            raise _ParentLostError("unexpected item in the stream")
        if item.revision > self._relay.fleet.revision:
            raise _ParentLostError("a change is missing")
        return self._relay.accept_beacon(item.beacon, item.revision)

    async def _apply_change(self, item: messages.FeedDelta) -> None:
        base, digest = self._relay.fleet, self._relay.digest
        stale = item.revision < base.revision
        if stale or (item.revision == base.revision and not self._needs_full):
            return
        if item.whole:
            base = model.Fleet()
            digest = encoding.content_digest(base)
        elif item.base_revision > base.revision:
            raise _ParentLostError("a change is missing")
        try:
            change = delta.unpack(item.body)
            fleet, digest = await delta.apply_in_chunks(
                base, digest, change, item.revision
            )
        except ValueError as error:
            raise _ParentLostError(f"malformed change: {error}") from error
        if encoding.digest_bytes(digest) != item.digest:
            self._needs_full = True
            raise _ParentLostError(
                "the content digest does not match after a change"
            )
        self._needs_full = False
        self._fleet_holder.advance(fleet)
        if item.whole:
            self._relay.reset(fleet, digest, item)
            return
        self._relay.publish(item, fleet, digest)

    async def _report(self, opened: connection.Connection) -> None:
        """Reports the subtree to the parent, on changes and periodically."""
        reported_names: frozenset[str] | None = None
        while True:
            reported = self._relay.reported
            names = self._relay.agent_names()
            report = self._relay.report(
                None if names == reported_names else names
            )
            if opened.notify(report, pings=False):
                reported_names = names
            with anyio.move_on_after(REPORT_INTERVAL_S):
                await reported.wait()
            await anyio.sleep(REPORT_DELAY_S)


def _next_pause(pause_s: float, *, failed: bool) -> float:
    """Returns the bound on the next random pause, in seconds."""
    return (
        min(2 * pause_s, MAX_RETRY_INTERVAL_S) if failed else RETRY_INTERVAL_S
    )


def _parse_addresses(text: str) -> list[address.Address]:
    parts = text.split(",")[:MAX_CANDIDATES]
    try:
        return [address.parse(part) for part in parts if part]
    except ValueError:
        return []
