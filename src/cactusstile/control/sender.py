"""One-way messages between control VMs; connects in the background."""

from __future__ import annotations

import logging
import typing

from cactusstile import guards
from cactusstile.control import member_messages
from cactusstile.transport import address
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    import anyio.abc

    from cactusstile.consensus import messages as consensus_messages
    from cactusstile.transport import pool

logger = logging.getLogger(__name__)


class Sender:
    """Sends notices to control VMs; drops notices to unconnected ones.

    Attributes:
      dropped: Number of dropped notices.
    """

    def __init__(
        self, connections: pool.Pool, group: anyio.abc.TaskGroup
    ) -> None:
        """Sends over `connections`; opens missing ones in tasks of `group`."""
        self.dropped = 0
        self._connections = connections
        self._task_group = group
        self._connecting: set[str] = set()
        self._guard = guards.Guard("connections to control")

    def notify(self, peer_address: str, message: object) -> None:
        """Sends `message` to the address `peer_address` without waiting."""
        try:
            peer = address.parse(peer_address)
        except ValueError:
            # Another process has named the address.
            self.dropped += 1
            return
        connection = self._connections.existing(peer)
        if connection is not None:
            if not connection.notify(message):
                self.dropped += 1
            return
        self.dropped += 1
        if peer_address not in self._connecting:
            self._connecting.add(peer_address)
            self._task_group.start_soon(
                self._guard.run, self._connect, peer_address, peer
            )

    async def _connect(self, peer_address: str, peer: address.Address) -> None:
        try:
            await self._connections.connect(peer)
        except (transport_exceptions.TransportError, TimeoutError) as error:
            logger.debug("connection to %s failed: %s", peer_address, error)
        finally:
            self._connecting.discard(peer_address)

    def for_group(
        self, group: str, own_address: str
    ) -> collections.abc.Callable[[str, consensus_messages.Message], None]:
        """Returns a function that sends messages of one replica group."""

        def send(
            peer_address: str, message: consensus_messages.Message
        ) -> None:
            envelope = member_messages.GroupEnvelope(
                group,
                own_address,
                codec.number_of(type(message)),
                codec.encode(message),
            )
            self.notify(peer_address, envelope)

        return send
