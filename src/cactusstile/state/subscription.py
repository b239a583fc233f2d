"""Child's side of the delivery tree: keeps a node's fleet up to date.

    holder = holder.FleetHolder()
    own = relay.Relay(name, is_agent=True)
    subscriber = subscription.Subscriber(holder, own, pool, control)
    group.start_soon(subscriber.run)
    await holder.confirmed.wait()

A node that serves children puts `own.serve` and `own.take_report` into the
handlers of its server, for `feed_messages.Subscribe` and `FeedReport`, and
gives its own address as `relay_address`.
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

# Beacons are passed on as they arrive, so the last one is as old as the fault.
SILENCE_LIMIT_S = relay.STALE_AFTER_S - 0.25
AVOID_S = 5.0
AVOID_REFUSING_S = 1.0
RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 3.2
VERIFY_TIMEOUT_S = 1.0
REPORT_DELAY_S = 0.05
REPORT_INTERVAL_S = 10.0
MAX_DESCENT = 4
MAX_CANDIDATES = 64


class _LostError(Exception):
    """Raised when a parent is of no use any more."""


class Subscriber:
    """Follows the configuration over the delivery tree.

    Attributes:
      parent: Address of the present parent; None without one.
      changes: Count of parents taken so far.
      received_bytes: Payload bytes received.
    """

    def __init__(
        self,
        held: holder.FleetHolder,
        own: relay.Relay,
        connections: pool.Pool,
        control: client.ControlClient,
        relay_address: address.Address | None = None,
    ) -> None:
        """Advances `held` and `own`.

        Args:
          held: The node's copy of the fleet.
          own: The node's relay; it also counts the node in reports.
          connections: Pool for all connections.
          control: Client of control; its addresses are the tree's roots.
          relay_address: Where this node serves children, if it does.
        """
        self.parent: address.Address | None = None
        self.changes = 0
        self.received_bytes = 0
        self._held = held
        self._own = own
        self._connections = connections
        self._control = control
        self._relay_address = str(relay_address) if relay_address else ""
        self._needs_whole = False
        self._relays_full = False
        self._followed = anyio.Event()
        self._dial_timeout_s = 2 * pool.DIAL_TIMEOUT_S
        self._avoided: dict[address.Address, float] = {}

    async def run(self) -> None:
        """Follows until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._confirm)
            pause_s = RETRY_INTERVAL_S
            while True:
                taken = self.changes
                await self._follow_one()
                failed = self.changes == taken
                pause_s = _next_pause(pause_s, failed=failed)
                # When many start at once, the parent needs longer for each.
                self._dial_timeout_s = (1 + failed) * pool.DIAL_TIMEOUT_S
                await anyio.sleep(random.uniform(0, pause_s))

    def age_s(self) -> float:
        """Returns the time since a quorum stood behind this copy."""
        return anyio.current_time() - self._own.fresh_at_s

    async def _confirm(self) -> None:
        """Sets `confirmed` once the copy has all that a quorum confirmed."""
        await self._followed.wait()
        pause_s = RETRY_INTERVAL_S
        while True:
            try:
                found = await self._control.read_revision()
            except exceptions.ControlError as error:
                logger.debug("no confirmation yet: %s", error)
                await anyio.sleep(random.uniform(0, pause_s))
                pause_s = _next_pause(pause_s, failed=True)
                continue
            break
        while self._held.fleet.revision < found.revision:
            await self._own.changed.wait()
        self._held.confirmed.set()

    async def _follow_one(self) -> None:
        first = candidates = self._rank(self._control.addresses)
        for _ in range(MAX_DESCENT):
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
                    _LostError,
                    transport_exceptions.TransportError,
                    TimeoutError,
                ) as error:
                    self._avoid(candidate, error)
                    return
            if not next_level:
                break
            candidates = next_level
        # Relays that have only just joined are stale for a moment, not full.
        self._relays_full = candidates != first and codes != {relay.STALE}
        if all(map(self._is_avoided, self._control.addresses)):
            self._avoided.clear()

    def _rank(
        self, addresses: collections.abc.Iterable[address.Address]
    ) -> list[address.Address]:
        """Orders addresses by rendezvous hashing with the own name."""

        def weigh(candidate: address.Address) -> bytes:
            text = f"{self._own.name}|{candidate}"
            return hashlib.blake2b(text.encode(), digest_size=8).digest()

        return sorted(addresses, key=weigh)

    def _avoid(self, candidate: address.Address, error: Exception) -> None:
        avoid_s = AVOID_S
        if isinstance(error, transport_exceptions.RemoteError):
            stale = error.code == relay.STALE
            avoid_s = RETRY_INTERVAL_S if stale else AVOID_REFUSING_S
        self._avoided[candidate] = anyio.current_time() + avoid_s
        logger.info("leaves parent %s: %s", candidate, error)

    def _is_avoided(self, candidate: address.Address) -> bool:
        return self._avoided.get(candidate, 0.0) > anyio.current_time()

    async def _follow(self, candidate: address.Address) -> None:
        opened = await self._connections.connect(
            candidate, dial_timeout_s=self._dial_timeout_s
        )
        await opened.verify(VERIFY_TIMEOUT_S)
        revision = 0 if self._needs_whole else self._own.fleet.revision
        subscribe = feed_messages.Subscribe(
            self._own.name, self._relay_address, revision, self._relays_full
        )
        async with (
            anyio.create_task_group() as group,
            opened.open_stream(subscribe, pings=False) as stream,
        ):
            moved_at_s = anyio.current_time()
            error: Exception | None = None
            try:
                while True:
                    limit_s = moved_at_s + SILENCE_LIMIT_S
                    with anyio.fail_after(limit_s - anyio.current_time()):
                        item = await anext(stream)
                    if self.parent != candidate:
                        self.parent = candidate
                        self.changes += 1
                        self._followed.set()
                        group.start_soon(self._report, opened)
                    if await self._take(item):
                        moved_at_s = anyio.current_time()
            except (
                _LostError,
                transport_exceptions.TransportError,
                TimeoutError,
                StopAsyncIteration,
            ) as caught:
                error = caught
            self.parent = None
            group.cancel_scope.cancel()
        if isinstance(error, TimeoutError | StopAsyncIteration):
            raise _LostError("no fresh word for too long") from error
        if error is not None:
            raise error

    async def _take(self, item: object) -> bool:
        """Handles an item; returns whether a quorum stands behind it."""
        if isinstance(item, messages.FeedDelta):
            self.received_bytes += len(item.body)
            await self._take_delta(item)
            return False
        if not isinstance(item, feed_messages.FeedHeartbeat):
            raise _LostError("unexpected item")
        if item.revision > self._own.fleet.revision:
            raise _LostError("a change is missing")
        return self._own.accept_beacon(item.beacon, item.revision)

    async def _take_delta(self, item: messages.FeedDelta) -> None:
        base, digest = self._own.fleet, self._own.digest
        stale = item.revision < base.revision
        if stale or (item.revision == base.revision and not self._needs_whole):
            return
        if item.whole:
            base = model.Fleet()
            digest = encoding.content_digest(base)
        elif item.base_revision > base.revision:
            raise _LostError("a change is missing")
        try:
            change = delta.unpack(item.body)
            fleet, digest = await delta.apply_in_chunks(
                base, digest, change, item.revision
            )
        except ValueError as error:
            raise _LostError(f"malformed change: {error}") from error
        if encoding.digest_bytes(digest) != item.digest:
            self._needs_whole = True
            raise _LostError("the change leads to other content")
        self._needs_whole = False
        self._held.advance(fleet)
        if item.whole:
            self._own.reset(fleet, digest, item)
            return
        self._own.publish(item, fleet, digest)

    async def _report(self, opened: connection.Connection) -> None:
        """Tells the parent about the subtree, at each change and at times."""
        told: frozenset[str] | None = None
        while True:
            reported = self._own.reported
            names = self._own.agent_names()
            report = self._own.report(None if names == told else names)
            if opened.notify(report, pings=False):
                told = names
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
