"""Tells gateways what is in force, from the leader."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import attempts
from cactusstile.registry import store_contents
from cactusstile.sites import messages
from cactusstile.transport import codec
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.registry import state
    from cactusstile.sites import model
    from cactusstile.transport import incoming

# Time between two confirmations by a quorum; a gateway that misses a few of
# them asks another control process.
CONFIRMATION_INTERVAL_S = 0.4
_MS_PER_S = 1000
_MAX_AGE_MS = 2**32 - 1


@attrs.define
class _Sent:
    """What one gateway was sent."""

    version: int
    weights: tuple[messages.NamedWeights, ...] = ()
    list_number: int = 0
    confirmation: int = 0
    store_round: int = -1


class Feed:
    """State that gateways are told, and those that watch.

    Attributes:
      site: The replicated state.
      replica: This process's replica.
      watchers: Addresses of open watches, by the gateway's name.
      listed: Targets as last listed.
      list_number: Count of lists that differed.
      listed_s: Loop time of the last list.
      contents: Contents of the stores, by address.
    """

    def __init__(
        self, site: state.SiteState, own_replica: replica.Replica
    ) -> None:
        """Tells what `site` holds while `own_replica` leads."""
        self.site = site
        self.replica = own_replica
        self.watchers: dict[str, list[str]] = {}
        self.listed: tuple[model.Target, ...] = ()
        self.list_number = 0
        self.listed_s = float("-inf")
        self.contents: dict[str, store_contents.StoreContents] = {}
        self._confirmation = 0
        self._store_round = 0
        self._store_changes = messages.StoreUpdates(())
        self._changed = anyio.Event()
        self._encoded: tuple[messages.TargetList, bytes]
        self._encoded_number = 0

    def wake(self) -> None:
        """Has the watches send what changed."""
        self._changed.set()
        self._changed = anyio.Event()

    def set_targets(self, listed: tuple[model.Target, ...]) -> None:
        """Takes over a list of targets."""
        if listed == self.listed and self.list_number:
            return
        self.listed = listed
        self.list_number += 1
        self.wake()

    def update_stores(self) -> None:
        """Takes what changed in the stores, and has it sent."""
        self._store_changes = messages.StoreUpdates(
            tuple(one.take_update() for one in self.contents.values())
        )
        self._store_round += 1
        self.wake()

    async def run_confirmations(self) -> None:
        """Has a quorum confirm again and again that this replica leads."""
        was_leader = False
        while True:
            leads = self.replica.is_leader
            if leads:
                try:
                    await self.replica.read_barrier()
                    self._confirmation += 1
                    self.update_stores()
                except consensus_exceptions.ConsensusError:
                    leads = False
            if leads or was_leader:
                self.wake()
            was_leader = leads
            await anyio.sleep(CONFIRMATION_INTERVAL_S)

    async def serve(
        self, responder: incoming.Responder, message: messages.Watch
    ) -> object:
        """Answers one watch until the gateway or the leadership is gone."""
        name = responder.peer.name
        self.watchers.setdefault(name, []).append(message.address)
        try:
            await self._confirm()
            sent = _Sent(message.known_version)
            while True:
                changed = self._changed
                await self._send_changes(responder, sent)
                await changed.wait()
                if not self.replica.is_leader:
                    raise self._not_leader()
        finally:
            self.watchers[name].remove(message.address)
            if not self.watchers[name]:
                del self.watchers[name]

    async def _confirm(self) -> None:
        try:
            await self.replica.read_barrier()
        except consensus_exceptions.ConsensusError as error:
            raise self._not_leader() from error

    def _not_leader(self) -> transport_exceptions.RemoteError:
        leader = self.replica.leader
        if leader == self.replica.settings.address:
            leader = ""
        return transport_exceptions.RemoteError(
            attempts.NOT_LEADER, "this replica does not lead", leader
        )

    async def _send_changes(
        self, responder: incoming.Responder, sent: _Sent
    ) -> None:
        image = self.site.image
        if self.site.has_configuration and image.version > sent.version:
            sent.version = image.version
            await responder.send(
                messages.ConfigurationInForce(image.version, image.document)
            )
        if image.weights != sent.weights:
            sent.weights = image.weights
            await responder.send(messages.WeightsInForce(image.weights))
        if self.list_number > sent.list_number:
            sent.list_number = self.list_number
            await responder.send(*self._encoded_list())
        if self._store_round > sent.store_round:
            # Noted before the wait: what changes during it is sent next.
            item = self._store_item(sent.store_round)
            sent.store_round = self._store_round
            await responder.send(item)
        if self._confirmation > sent.confirmation:
            sent.confirmation = self._confirmation
            await responder.send(self._describe())

    def _store_item(self, sent_round: int) -> messages.StoreUpdates:
        """Returns what changed since the round that was sent last."""
        if sent_round == self._store_round - 1:
            return self._store_changes
        return messages.StoreUpdates(
            tuple(one.whole() for one in self.contents.values())
        )

    def _encoded_list(self) -> tuple[messages.TargetList, bytes]:
        """Returns the list of targets, encoded once for all watches."""
        if self._encoded_number != self.list_number:
            item = messages.TargetList(
                tuple(messages.encode_target(one) for one in self.listed)
            )
            self._encoded = (item, codec.encode(item))
            self._encoded_number = self.list_number
        return self._encoded

    def _describe(self) -> messages.Confirmation:
        age_s = anyio.current_time() - self.listed_s
        members = self.replica.status().members
        control = tuple(one.member.address for one in members)
        age_ms = _MAX_AGE_MS
        if age_s * _MS_PER_S < _MAX_AGE_MS:
            age_ms = int(age_s * _MS_PER_S)
        gateways = tuple(found[-1] for found in self.watchers.values())
        return messages.Confirmation(age_ms, gateways, control)


def watch_handlers(
    feed: Feed,
) -> dict[type, collections.abc.Callable[..., typing.Any]]:
    """Returns the handlers of gateways' calls."""
    return {messages.Watch: feed.serve}
