"""Exchanges datagrams with other gateways.

They tell the loads on each target (see `load_sharing`), where streams began
(see `stream_directory`), under which requests targets end (see `quarantine`)
and which limits targets name (see `limit_sharing`).
"""

from __future__ import annotations

import collections
import collections.abc
import logging
import typing

import anyio
import anyio.abc

from cactusstile.gateway.peers import datagrams
from cactusstile.gateway.peers import load_channel
from cactusstile.gateway.peers import load_sharing
from cactusstile.transport import address
from cactusstile.transport import binding

Handler = collections.abc.Callable[[typing.Any], None]

logger = logging.getLogger(__name__)

# Shortest time between two reports to a relay.
REPORT_INTERVAL_S = 0.01
# Shortest time between two rounds of a relay.
SEND_INTERVAL_S = 0.02
# The interval grows with the number of gateways that a relay exchanges loads
# with, which bounds the datagrams that it handles per second.
SEND_INTERVAL_PER_PEER_S = 0.00125
# Messages that wait to be sent; the oldest are dropped if full.
MAX_OUTBOX = 2000
# Fraction of the VM's link that sent datagrams may take.
MAX_LINK_FRACTION = 0.1
_BITS_PER_BYTE = 8
_BITS_PER_MBIT = 1_000_000


def send_interval_s(peers: int, sent_bytes: int, link_mbps: float) -> float:
    """Returns the shortest time between two rounds of a relay.

    Args:
      peers: Number of gateways that a relay exchanges loads with.
      sent_bytes: Size of all datagrams of the last round.
      link_mbps: Bandwidth of the VM's link, in Mbit/s.

    >>> send_interval_s(8, 5_000, 1000.0), send_interval_s(30, 5_000, 1000.0)
    (0.02, 0.0375)
    >>> send_interval_s(8, 40_000, 5.0)
    0.64
    """
    bits = sent_bytes * _BITS_PER_BYTE
    link_s = bits / (link_mbps * _BITS_PER_MBIT * MAX_LINK_FRACTION)
    return max(SEND_INTERVAL_S, SEND_INTERVAL_PER_PEER_S * peers, link_s)


class DatagramExchange:
    """Sends and receives datagrams.

    Attributes:
      sharing: State of the exchange.
      own_address: Address that this gateway receives datagrams at.
      secret: Key of the message authentication code.
      handlers: Handler of each type of message that tells no load.
    """

    def __init__(
        self,
        sharing: load_sharing.LoadSharing,
        own_address: address.Address,
        secret: bytes,
    ) -> None:
        """Exchanges what `sharing` decides.

        Args:
          sharing: State of the exchange.
          own_address: Address to receive datagrams at.
          secret: Key that authenticates the datagrams of gateways.
        """
        self.sharing = sharing
        self.own_address = own_address
        self.secret = secret
        self.handlers: dict[type, Handler] = {}
        self._last_round_s = float("-inf")
        self._outbox: collections.deque[tuple[datagrams.Message, str]] = (
            collections.deque(maxlen=MAX_OUTBOX)
        )
        self._outbox_filled = anyio.Event()
        self._sending = anyio.Lock()

    def send_soon(self, message: datagrams.Message, receiver: str) -> None:
        """Sends a message to the gateway with an address; it may be lost."""
        self._outbox.append((message, receiver))
        self._outbox_filled.set()

    async def run(self) -> None:
        """Exchanges loads for as long as the process runs."""
        async with (
            await binding.wait_until_free(self._open) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive, socket)
            group.start_soon(self._send_outbox, socket)
            await self._send(socket)

    async def _open(self) -> anyio.abc.UDPSocket:
        own = self.own_address
        try:
            return await anyio.create_udp_socket(
                local_host=own.host, local_port=own.port
            )
        except OSError as error:
            text = f"cannot receive datagrams on {own}: {error.strerror}"
            raise OSError(error.errno, text) from error

    async def _send(self, socket: anyio.abc.UDPSocket) -> None:
        sent_bytes = 0
        while True:
            await self._wait_for_round(sent_bytes)
            sent_bytes = 0
            self._last_round_s = anyio.current_time()
            for outgoing in self.sharing.collect(self._last_round_s):
                data = datagrams.encode(self.secret, outgoing.message)
                for receiver in outgoing.receivers:
                    await self._send_to(socket, data, receiver)
                sent_bytes += len(data) * len(outgoing.receivers)

    async def _send_outbox(self, socket: anyio.abc.UDPSocket) -> None:
        while True:
            await self._outbox_filled.wait()
            self._outbox_filled = anyio.Event()
            while self._outbox:
                message, receiver = self._outbox.popleft()
                data = datagrams.encode(self.secret, message)
                await self._send_to(socket, data, receiver)

    async def _wait_for_round(self, sent_bytes: int) -> None:
        """Waits until there is something new, or a repeat is due.

        A change is sent at once unless the last round was just before.
        """
        with anyio.move_on_after(load_channel.REPEAT_INTERVAL_S):
            await self.sharing.changed.wait()
        interval_s = REPORT_INTERVAL_S
        if self.sharing.is_relay:
            interval_s = send_interval_s(
                self.sharing.peer_count(),
                sent_bytes,
                self.sharing.own.link_mbps,
            )
        since_s = anyio.current_time() - self._last_round_s
        if since_s < interval_s:
            await anyio.sleep(interval_s - since_s)

    async def _send_to(
        self,
        socket: anyio.abc.UDPSocket,
        data: bytes,
        receiver: str,
    ) -> None:
        async with self._sending:
            try:
                peer = address.parse(receiver)
                await socket.sendto(data, peer.host, peer.port)
            except (OSError, ValueError) as error:
                # Another gateway may have named the address.
                logger.debug("failed to send to %r: %s", receiver, error)

    async def _receive(self, socket: anyio.abc.UDPSocket) -> None:
        async for datagram, _ in socket:
            try:
                self.handle_datagram(datagram)
            except Exception:
                # An error in one message must not end the process.
                logger.exception("a datagram failed by a fault of the program")

    def handle_datagram(self, datagram: bytes) -> None:
        """Applies a gateway's datagram; invalid datagrams are dropped."""
        message = datagrams.decode(self.secret, datagram)
        if message is None:
            return
        if isinstance(message, datagrams.LoadMessage):
            self.sharing.receive(message, anyio.current_time())
            return
        handler = self.handlers.get(type(message))
        if handler is not None:
            handler(message)
