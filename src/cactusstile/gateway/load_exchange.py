"""Gateways tell each other what they have under way at each target.

Answers days on which many gateways choose among few engines: each would
otherwise see the load of the others only in the answers of targets, after the
fact, and several would choose the same idle engine. They also tell which
prompts they sent where, so that a prompt that returns at another gateway finds
the engine that holds it. Datagrams may be lost; the next one replaces a load,
and a prompt that nobody heard of is read again.
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
# The interval grows with the gateways, so that what each receives in a second
# stays bounded.
SEND_INTERVAL_PER_GATEWAY_S = 0.003
# Time after which an unchanged load is sent again, since datagrams get lost.
REPEAT_INTERVAL_S = 0.4
MAC_BYTES = 16
# Prompts that wait for the next datagram, and the size of one: a datagram has
# 64 KiB at most.
MAX_SENT_PROMPTS = 40
MAX_PROMPT_BYTES = 1000
_BYTES_PER_PART = 32

Loads = tuple[messages.TargetLoad, ...]


def send_interval_s(gateways: int) -> float:
    """Returns the least time between two datagrams to each other gateway.

    >>> send_interval_s(8), round(send_interval_s(31), 3)
    (0.04, 0.093)
    """
    return max(SEND_INTERVAL_S, SEND_INTERVAL_PER_GATEWAY_S * gateways)


class LoadExchange:
    """Sends this gateway's load to the others, and takes theirs."""

    def __init__(
        self,
        site: site_view.SiteView,
        name: str,
        own: address.Address,
        secret: bytes,
    ) -> None:
        """Exchanges loads of `site`.

        Args:
          site: What this gateway knows of the site.
          name: Name of this gateway.
          own: Address that datagrams arrive at.
          secret: Proves that a datagram is a gateway's.
        """
        self.site = site
        self.name = name
        self.own = own
        self.secret = secret
        self.prompts: collections.deque[messages.SentPrompt] = (
            collections.deque(maxlen=MAX_SENT_PROMPTS)
        )

    async def run(self) -> None:
        """Exchanges loads for as long as the process runs."""
        async with (
            await anyio.create_udp_socket(
                local_host=self.own.host, local_port=self.own.port
            ) as socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive, socket)
            await self._send(socket)

    async def _send(self, socket: anyio.abc.UDPSocket) -> None:
        sent: Loads = ()
        sent_s = float("-inf")
        while True:
            await anyio.sleep(send_interval_s(len(self.site.gateways)))
            loads = self.own_loads()
            now_s = anyio.current_time()
            is_old = now_s - sent_s >= REPEAT_INTERVAL_S
            if loads == sent and not self.prompts and not is_old:
                continue
            sent, sent_s = loads, now_s
            data = self.encode(loads)
            for peer in self.site.gateways:
                place = address.parse(peer)
                if place != self.own:
                    await self._send_to(socket, data, place)

    async def _send_to(
        self, socket: anyio.abc.UDPSocket, data: bytes, peer: address.Address
    ) -> None:
        try:
            await socket.sendto(data, peer.host, peer.port)
        except OSError as error:
            logger.debug("a load was not sent to %s: %s", peer, error)

    async def _receive(self, socket: anyio.abc.UDPSocket) -> None:
        async for data, _ in socket:
            self.take(data)

    def note_prompt(
        self, target: str, salt: str, prompt: prompt_parts.Prompt
    ) -> None:
        """Notes a prompt that was sent, for the next datagram.

        One with many or long parts is not told: it would be read again.
        """
        parts = tuple(
            messages.SentPart(one.id, one.tokens) for one in prompt.parts
        )
        size = sum(len(one.id) + _BYTES_PER_PART for one in parts)
        if parts and size + len(salt) <= MAX_PROMPT_BYTES:
            self.prompts.append(messages.SentPrompt(target, salt, parts))

    def own_loads(self) -> Loads:
        """Returns what this gateway has under way."""
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
        """Returns the datagram that tells `loads` and the prompts sent."""
        prompts = tuple(self.prompts)
        self.prompts.clear()
        data = codec.encode(messages.GatewayLoad(self.name, loads, prompts))
        return self._mac(data) + data

    def take(self, datagram: bytes) -> None:
        """Takes over what another gateway tells; others are dropped."""
        mac, data = datagram[:MAC_BYTES], datagram[MAC_BYTES:]
        if not hmac.compare_digest(mac, self._mac(data)):
            return
        number = codec.number_of(messages.GatewayLoad)
        try:
            read = codec.decode(number, data)
        except transport_exceptions.ProtocolError:
            return
        if not isinstance(read, messages.GatewayLoad):
            return
        now_s = anyio.current_time()
        loads = {
            one.id: target_view.PeerLoad(
                one.inflight, one.unread_tokens, one.tokens, now_s
            )
            for one in read.targets
        }
        self.site.targets.take_peer(read.gateway, loads, now_s)
        self.site.targets.take_prompts(read.prompts)

    def _mac(self, data: bytes) -> bytes:
        return hmac.digest(self.secret, data, hashlib.sha256)[:MAC_BYTES]
