"""One-way messages between control VMs, dialled in the background."""

from __future__ import annotations

import logging
import typing

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
    """Sends notices to control VMs; drops them while one is not connected.

    Attributes:
      dropped: Count of notices that were dropped.
    """

    def __init__(
        self, connections: pool.Pool, group: anyio.abc.TaskGroup
    ) -> None:
        """Sends over `connections` and dials in `group`."""
        self.dropped = 0
        self._connections = connections
        self._group = group
        self._dialling: set[str] = set()

    def notify(self, target: str, message: object) -> None:
        """Sends `message` to the address `target`; never waits."""
        opened = self._connections.existing(address.parse(target))
        if opened is not None:
            if not opened.notify(message):
                self.dropped += 1
            return
        self.dropped += 1
        if target not in self._dialling:
            self._dialling.add(target)
            self._group.start_soon(self._dial, target)

    async def _dial(self, target: str) -> None:
        try:
            await self._connections.connect(address.parse(target))
        except (transport_exceptions.TransportError, TimeoutError) as error:
            logger.debug("%s is not connected: %s", target, error)
        finally:
            self._dialling.discard(target)

    def for_group(
        self, group: str, own_address: str
    ) -> collections.abc.Callable[[str, consensus_messages.Message], None]:
        """Returns a function that sends messages of one replica group."""

        def send(target: str, message: consensus_messages.Message) -> None:
            envelope = member_messages.GroupEnvelope(
                group,
                own_address,
                codec.number_of(type(message)),
                codec.encode(message),
            )
            self.notify(target, envelope)

        return send
