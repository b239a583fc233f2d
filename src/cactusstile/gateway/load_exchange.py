"""Exchanges the gateways' loads at each target by UDP.

Without the exchange, gateways would see each other's load only in the answers
of targets, too late, and several of many gateways would choose the same idle
engine. Gateways also announce which engine they sent a prompt to, so that a
prompt with the same prefix at another gateway is placed on the engine that
caches it. Datagrams may be lost: the next one replaces the load, and a prompt
whose announcement was lost is recomputed.
"""

from __future__ import annotations

import collections
import hashlib
import hmac
import logging

import anyio
import anyio.abc

from cactusstile.gateway import prompts as prompt_parts
from cactusstile.gateway import site_view
from cactusstile.gateway import target_view
from cactusstile.sites import messages
from cactusstile.transport import address
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions

logger = logging.getLogger(__name__)

SEND_INTERVAL_S = 0.04
# The interval grows with the number of gateways, which bounds the datagrams
# that each gateway receives per second.
SEND_INTERVAL_PER_GATEWAY_S = 0.003
# Time after which an unchanged load is sent again, since datagrams may be lost.
REPEAT_INTERVAL_S = 0.4
MAC_BYTES = 16
# Limits of the prompts that are queued for the next datagram, and of the size
# of each: the maximum size of a datagram is 64 KiB.
MAX_SENT_PROMPTS = 40
MAX_PROMPT_BYTES = 1000
_BYTES_PER_PART = 32

Loads = tuple[messages.TargetLoad, ...]


def send_interval_s(gateways: int) -> float:
    """Returns the minimum time between two datagrams to the same gateway.

    >>> send_interval_s(8), round(send_interval_s(31), 3)
    (0.04, 0.093)
    """
    return max(SEND_INTERVAL_S, SEND_INTERVAL_PER_GATEWAY_S * gateways)


class LoadExchange:
    """Sends this gateway's load to the other gateways and receives theirs.

    Attributes:
      site: Local view of the site; updated with the loads of other gateways.
      name: Name of this gateway.
      own_address: Address that this gateway receives datagrams at.
      secret: Key of the message authentication code.
      prompts: Prompts queued for the next datagram.
    """

    def __init__(
        self,
        site: site_view.SiteView,
        name: str,
        own_address: address.Address,
        secret: bytes,
    ) -> None:
        """Exchanges the loads in `site`.

        Args:
          site: Local view of the site.
          name: Name of this gateway.
          own_address: Address to receive datagrams at.
          secret: Key that authenticates the datagrams of gateways.
        """
        self.site = site
        self.name = name
        self.own_address = own_address
        self.secret = secret
        self.prompts: collections.deque[messages.SentPrompt] = (
            collections.deque(maxlen=MAX_SENT_PROMPTS)
        )

    async def run(self) -> None:
        """Exchanges loads for as long as the process runs."""
        async with (
            await anyio.create_udp_socket(
                local_host=self.own_address.host,
                local_port=self.own_address.port,
            ) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive, socket)
            await self._send(socket)

    async def _send(self, socket: anyio.abc.UDPSocket) -> None:
        last_loads: Loads = ()
        last_sent_s = float("-inf")
        while True:
            await anyio.sleep(send_interval_s(len(self.site.gateways)))
            loads = self.own_loads()
            now_s = anyio.current_time()
            is_repeat_due = now_s - last_sent_s >= REPEAT_INTERVAL_S
            if loads == last_loads and not self.prompts and not is_repeat_due:
                continue
            last_loads, last_sent_s = loads, now_s
            data = self.encode(loads)
            for gateway_address in self.site.gateways:
                peer_address = address.parse(gateway_address)
                if peer_address != self.own_address:
                    await self._send_to(socket, data, peer_address)

    async def _send_to(
        self,
        socket: anyio.abc.UDPSocket,
        data: bytes,
        peer: address.Address,
    ) -> None:
        try:
            await socket.sendto(data, peer.host, peer.port)
        except OSError as error:
            logger.debug("failed to send the load to %s: %s", peer, error)

    async def _receive(self, socket: anyio.abc.UDPSocket) -> None:
        async for data, _ in socket:
            self.handle_datagram(data)

    def queue_prompt(
        self, target: str, salt: str, prompt: prompt_parts.Prompt
    ) -> None:
        """Queues the announcement of a prompt for the next datagram.

        A prompt with many or long parts is not announced; it may be recomputed.
        """
        parts = tuple(
            messages.SentPart(part.id, part.tokens) for part in prompt.parts
        )
        size = sum(len(part.id) + _BYTES_PER_PART for part in parts)
        if parts and size + len(salt) <= MAX_PROMPT_BYTES:
            self.prompts.append(messages.SentPrompt(target, salt, parts))

    def own_loads(self) -> Loads:
        """Returns this gateway's load at each target with open requests."""
        return tuple(
            messages.TargetLoad(
                view.target.id,
                view.inflight,
                max(0, view.unread_tokens),
                max(0, view.tokens),
            )
            for view in self.site.targets.views.values()
            if view.inflight
        )

    def encode(self, loads: Loads) -> bytes:
        """Returns a datagram with `loads` and all queued prompts."""
        prompts = tuple(self.prompts)
        self.prompts.clear()
        data = codec.encode(messages.GatewayLoad(self.name, loads, prompts))
        return self._mac(data) + data

    def handle_datagram(self, datagram: bytes) -> None:
        """Applies a gateway's datagram; invalid datagrams are dropped."""
        mac, data = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(data)):
            return
        number = codec.number_of(messages.GatewayLoad)
        try:
            message = codec.decode(number, data)
        except transport_exceptions.ProtocolError:
            return
        if not isinstance(message, messages.GatewayLoad):
            return
        now_s = anyio.current_time()
        loads = {
            load.id: target_view.PeerLoad(
                load.inflight, load.unread_tokens, load.tokens, now_s
            )
            for load in message.targets
        }
        self.site.targets.update_peer_loads(message.gateway, loads, now_s)
        self.site.targets.record_peer_prompts(message.prompts)

    def _mac(self, data: bytes) -> bytes:
        return hmac.digest(self.secret, data, hashlib.sha256)[:MAC_BYTES]
