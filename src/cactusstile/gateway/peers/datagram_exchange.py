"""Exchanges datagrams with other gateways.

They tell the loads on each target (see `load_sharing`), where streams began
(see `stream_directory`), under which requests targets end (see `quarantine`)
and which limits targets name (see `limit_sharing`).
"""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import logging
import socket
import typing

import anyio
import anyio.abc

from cactusstile import guards
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
# Time after which a lost socket is opened again.
REOPEN_DELAY_S = 0.2
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
      socket: The open socket; None while there is none.
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
        self.socket: anyio.abc.UDPSocket | None = None
        self._sent = guards.Guard("sent datagrams")
        self._received = guards.Guard("received datagrams")
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
        """Exchanges datagrams for as long as the process runs.

        Raises:
          OSError: The address cannot be bound.
        """
        self.socket = await binding.wait_until_free(self._open)
        while True:
            with self._sent.contain():
                await self._exchange(self.socket)
            self.socket = None
            while self.socket is None:
                await anyio.sleep(REOPEN_DELAY_S)
                with contextlib.suppress(OSError):
                    self.socket = await self._open()

    async def _exchange(self, opened: anyio.abc.UDPSocket) -> None:
        """Exchanges datagrams until the socket fails."""
        async with opened, anyio.create_task_group() as group:
            group.start_soon(self._receive, opened)
            group.start_soon(self._send_outbox, opened)
            await self._send(opened)

    async def _open(self) -> anyio.abc.UDPSocket:
        own = self.own_address
        try:
            raw = binding.bind(own, socket.SOCK_DGRAM)
        except OSError as error:
            text = f"cannot receive datagrams on {own}: {error.strerror}"
            raise OSError(error.errno, text) from error
        return await anyio.abc.UDPSocket.from_socket(raw)

    async def _send(self, opened: anyio.abc.UDPSocket) -> None:
        sent_bytes = 0
        while True:
            await self._wait_for_round(sent_bytes)
            self._last_round_s = anyio.current_time()
            due: list[tuple[bytes, str]] = []
            with self._sent.contain():
                due = self._encode_round(self._last_round_s)
            for data, receiver in due:
                await self._send_to(opened, data, receiver)
            sent_bytes = sum(len(data) for data, _ in due)

    def _encode_round(self, now_s: float) -> list[tuple[bytes, str]]:
        """Returns the datagrams that are due, with their receivers."""
        due = []
        for outgoing in self.sharing.collect(now_s):
            for data in datagrams.encode_all(self.secret, outgoing.message):
                due += [(data, receiver) for receiver in outgoing.receivers]
        return due

    async def _send_outbox(self, opened: anyio.abc.UDPSocket) -> None:
        while True:
            await self._outbox_filled.wait()
            self._outbox_filled = anyio.Event()
            while self._outbox:
                message, receiver = self._outbox.popleft()
                encoded: list[bytes] = []
                with self._sent.contain():
                    encoded = datagrams.encode_all(self.secret, message)
                for data in encoded:
                    await self._send_to(opened, data, receiver)

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
        opened: anyio.abc.UDPSocket,
        data: bytes,
        receiver: str,
    ) -> None:
        async with self._sending:
            try:
                peer = address.parse(receiver)
                await opened.sendto(data, peer.host, peer.port)
            except (OSError, ValueError) as error:
                # Another gateway may have named the address.
                logger.debug("failed to send to %r: %s", receiver, error)

    async def _receive(self, opened: anyio.abc.UDPSocket) -> None:
        async for datagram, _ in opened:
            with self._received.contain():
                self.handle_datagram(datagram)

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
