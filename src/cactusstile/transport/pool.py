"""Pool of connections to peers, dialled on demand and shared by all calls."""

from __future__ import annotations

import collections.abc
import contextlib
import logging
import typing

import anyio
import anyio.abc
import attrs

from cactusstile import guards
from cactusstile.transport import address
from cactusstile.transport import connection
from cactusstile.transport import exceptions
from cactusstile.transport import handshake
from cactusstile.transport import incoming

logger = logging.getLogger(__name__)

DIAL_TIMEOUT_S = 1.0
REDIAL_INTERVAL_S = 0.2
_UNREACHABLE = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Dial: typing.TypeAlias = collections.abc.Callable[
    [address.Address], collections.abc.Awaitable[anyio.abc.ByteStream]
]


async def dial_tcp(target: address.Address) -> anyio.abc.ByteStream:
    """Opens a TCP connection to `target`."""
    return await anyio.connect_tcp(target.host, target.port)


@attrs.define
class _Peer:
    """Dial state of one address.

    Attributes:
      lock: Lock that is held while dialling.
      connection: Last connection, which may be closed; None before the first.
      failed_s: Event loop time of the last failed dial.
      failure: Message of the last failure.
    """

    lock: anyio.Lock = attrs.field(factory=anyio.Lock)
    connection: connection.Connection | None = None
    failed_s: float = float("-inf")
    failure: str = ""


class Pool:
    """Connections of a process by address."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        identity: handshake.Identity,
        secrets: handshake.Secrets,
        handlers: incoming.Handlers,
        timing: connection.Timing | None,
        *,
        dial: Dial = dial_tcp,
    ) -> None:
        """Creates a pool that runs connections in `group`; see `open_pool`."""
        self.identity = identity
        self._group = group
        self._secrets = secrets
        self._handlers = handlers
        self._timing = timing
        self._dial_stream = dial
        self._peers: dict[address.Address, _Peer] = {}
        self._guard = guards.Guard("dialled connections")

    async def connect(
        self,
        target: address.Address,
        *,
        dial_timeout_s: float = DIAL_TIMEOUT_S,
    ) -> connection.Connection:
        """Returns a live connection to `target`, dialling if there is none.

        Raises:
          ConnectionLostError: If the peer is unreachable (`sent` is False). A
            peer is not dialled again within `REDIAL_INTERVAL_S` of a failure.
          AuthenticationError: If the peer does not prove the secret.
        """
        peer = self._peers.setdefault(target, _Peer())
        async with peer.lock:
            existing = peer.connection
            if existing is not None and not existing.closed.is_set():
                return existing
            since_failure_s = anyio.current_time() - peer.failed_s
            if since_failure_s < REDIAL_INTERVAL_S:
                raise exceptions.ConnectionLostError(peer.failure, sent=False)
            try:
                peer.connection = await self._dial(target, dial_timeout_s)
            except _UNREACHABLE as error:
                peer.failed_s = anyio.current_time()
                peer.failure = f"{target} cannot be reached: {error!r}"
                raise exceptions.ConnectionLostError(
                    peer.failure, sent=False
                ) from error
            return peer.connection

    def existing(self, target: address.Address) -> connection.Connection | None:
        """Returns the live connection to `target`, or None."""
        peer = self._peers.get(target)
        if peer is None or peer.connection is None:
            return None
        return None if peer.connection.closed.is_set() else peer.connection

    async def call(
        self, target: address.Address, message: object, *, timeout_s: float
    ) -> object:
        """Dials if necessary and calls; see `connection.Connection.call`.

        `timeout_s` covers both.
        """
        started_s = anyio.current_time()
        opened = await self.connect(target)
        left_s = timeout_s - (anyio.current_time() - started_s)
        return await opened.call(message, timeout_s=left_s)

    async def _dial(
        self, target: address.Address, timeout_s: float
    ) -> connection.Connection:
        with anyio.fail_after(timeout_s):
            byte_stream = await self._dial_stream(target)
            try:
                peer, early, decoder = await handshake.connect(
                    byte_stream, self.identity, self._secrets
                )
            except BaseException:
                await anyio.aclose_forcefully(byte_stream)
                raise
        opened = connection.Connection(
            byte_stream,
            peer,
            decoder,
            self._handlers,
            self._timing,
            dialled=True,
        )
        self._group.start_soon(self._guard.run, opened.run, early)
        return opened


@contextlib.asynccontextmanager
async def open_pool(
    identity: handshake.Identity,
    secrets: handshake.Secrets,
    handlers: incoming.Handlers | None = None,
    timing: connection.Timing | None = None,
    dial: Dial = dial_tcp,
) -> collections.abc.AsyncIterator[Pool]:
    """Opens a pool whose connections close when the context exits.

    Args:
      identity: Identity that this process presents.
      secrets: Secrets of the deployment.
      handlers: Handlers of calls that peers make over dialled connections.
      timing: Heartbeat settings of the connections.
      dial: Opens a byte stream to an address.
    """
    async with anyio.create_task_group() as group:
        served = handlers or incoming.Handlers()
        yield Pool(group, identity, secrets, served, timing, dial=dial)
        group.cancel_scope.cancel()
