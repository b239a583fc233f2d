"""Streams the state of the site from the leader to gateways."""

from __future__ import annotations

import typing

import anyio

from cactusstile import clocks
from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import attempts
from cactusstile.registry import contents_pace
from cactusstile.registry import evacuations
from cactusstile.registry import holds
from cactusstile.registry import store_contents
from cactusstile.registry import view_answers
from cactusstile.registry import watch_state
from cactusstile.sites import ages
from cactusstile.sites import announcements
from cactusstile.sites import builds
from cactusstile.sites import messages
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.registry import state
    from cactusstile.sites import model
    from cactusstile.transport import incoming

# Time between two confirmations by a quorum. A gateway that misses several of
# them turns to another control process.
CONFIRMATION_INTERVAL_S = 0.4
# Shortest time between two confirmations, however urgent.
MIN_CONFIRMATION_INTERVAL_S = 0.05
# Time for which changes of several stores are collected.
STORE_UPDATES_DELAY_S = 0.1
# Changed parts up to which changes are sent instead of the full contents.
MAX_CHANGED_PARTS = 200
DEFAULT_LINK_MBPS = 1000.0


class Feed:
    """State that is sent to gateways, and the gateways that watch it.

    Attributes:
      site: Replicated state of the site.
      replica: This process's replica.
      watchers: Gateways of the open watches, by name.
      targets: Targets of the last list.
      list_revision: Incremented whenever a list differs from the one before.
      listed_at_s: Loop time at which the last list was read, in seconds.
      contents: Contents of the stores, by address.
      announcements: When this process learned of the announced weights.
      hold_ages: When this process learned of the holds.
      evacuation_ages: When this process learned that evacuations ended.
      view_answers: Questions of the gateways, which confirmations answer.
    """

    def __init__(
        self,
        site: state.SiteState,
        own_replica: replica.Replica,
        link_mbps: float = DEFAULT_LINK_MBPS,
    ) -> None:
        """Serves watches of `site` while `own_replica` is the leader.

        Args:
          site: Replicated state of the site.
          own_replica: This process's replica.
          link_mbps: Bandwidth of the VM's link, in Mbit/s.
        """
        self.site = site
        self.replica = own_replica
        self.watchers: dict[str, list[messages.GatewayMember]] = {}
        self.targets: tuple[model.Target, ...] = ()
        self.list_revision = 0
        self._is_listed = False
        self.listed_at_s = float("-inf")
        self.contents: dict[str, store_contents.StoreContents] = {}
        self.announcements = announcements.Announcements()
        self.record_announcements()
        self.hold_ages = holds.HoldAges()
        self.evacuation_ages = evacuations.EvacuationAges()
        self.view_answers = view_answers.ViewAnswers()
        self._confirmation_number = 0
        self._control: tuple[str, ...] = ()
        self._gateway_list = messages.GatewayList(())
        self._configuration = messages.ConfigurationInForce(0, b"")
        self._store_revision = 0
        self._store_updates = messages.StoreUpdates(())
        self._stores_changed = anyio.Event()
        self._contents_bucket = contents_pace.open_bucket(link_mbps)
        self._full_contents: messages.CompressedStoreUpdates | None = None
        self._changed = anyio.Event()
        self._target_list = messages.TargetList(())
        self._encoded = watch_state.EncodedItems()

    def observe_state(self) -> None:
        """Handles a change of the replicated state."""
        self.record_announcements()
        now_s = anyio.current_time()
        self.hold_ages.update(self.site.hold_table(), now_s)
        self.evacuation_ages.update(self.site.evacuation_table(), now_s)
        self.notify_watches()

    def record_announcements(self) -> None:
        """Records the weights that were announced since the last call.

        Followers record them, too, so that a new leader knows their age.
        """
        now_s = anyio.current_time()
        for named in self.site.image.weights:
            newest = self.announcements.newest(named.model)
            if newest is None or newest.version < named.version:
                self.announcements.add(named.model, named.version, now_s)

    def notify_watches(self) -> None:
        """Wakes all watches, which then send what changed."""
        self._changed.set()
        self._changed = anyio.Event()

    def set_targets(self, targets: tuple[model.Target, ...]) -> None:
        """Replaces the list of targets; watches are notified of changes."""
        if targets == self.targets and self._is_listed:
            return
        self.targets = targets
        self._is_listed = True
        self._target_list = messages.TargetList(
            tuple(messages.encode_target(target) for target in targets)
        )
        self.list_revision += 1
        self.notify_watches()

    def publish_store_updates(self) -> None:
        """Collects the changes of all stores and notifies the watches."""
        self._store_updates = messages.StoreUpdates(
            tuple(
                contents.collect_update() for contents in self.contents.values()
            )
        )
        self._full_contents = None
        self._store_revision += 1
        self.notify_watches()

    def schedule_store_updates(self) -> None:
        """Publishes changes of the stores soon, together with others.

        After an election the contents of all stores arrive one by one.
        """
        self._stores_changed.set()

    async def run_store_updates(self) -> None:
        """Publishes scheduled changes for as long as the process runs."""
        while True:
            await self._stores_changed.wait()
            await anyio.sleep(STORE_UPDATES_DELAY_S)
            self._stores_changed = anyio.Event()
            self.publish_store_updates()

    async def run_confirmations(self) -> None:
        """Confirms leadership with a quorum at a fixed interval.

        Urgent questions of gateways are answered sooner.
        """
        was_leader = False
        due_s = anyio.current_time()
        while True:
            is_leader = self.replica.is_leader
            if not is_leader:
                # Only a leader reads the list; it would be old by then.
                self._is_listed = False
            else:
                is_due = anyio.current_time() >= due_s
                if is_due:
                    due_s = anyio.current_time() + CONFIRMATION_INTERVAL_S
                try:
                    await self._confirm(regular=is_due)
                except consensus_exceptions.ConsensusError:
                    is_leader = False
            if is_leader or was_leader:
                self.notify_watches()
            was_leader = is_leader
            await self._wait_for_questions(due_s)

    async def _confirm(self, *, regular: bool) -> None:
        """Confirms the state with a quorum, for all gateways if regular."""
        questions = self.view_answers.begin(urgent_only=not regular)
        await self.replica.read_barrier()
        self.view_answers.finish(questions)
        if not regular:
            return
        self._confirmation_number += 1
        members = self.replica.status().members
        self._control = tuple(peer.member.address for peer in members)
        self.update_gateway_list()
        self.publish_store_updates()

    async def _wait_for_questions(self, due_s: float) -> None:
        """Waits for the next confirmation, or an urgent question."""
        await anyio.sleep(MIN_CONFIRMATION_INTERVAL_S)
        left_s = due_s - anyio.current_time()
        if not self.replica.is_leader:
            await anyio.sleep(CONFIRMATION_INTERVAL_S)
            return
        with anyio.move_on_after(max(0.0, left_s)):
            await self.view_answers.is_urgent.wait()

    async def serve_watch(
        self, responder: incoming.Responder, message: messages.Watch
    ) -> object:
        """Serves one watch until it is closed or leadership is lost.

        Raises:
          RemoteError: This replica is not the leader.
        """
        name = responder.peer.name
        self.watchers.setdefault(name, []).append(message.member)
        try:
            await self._check_leadership()
            self.view_answers.open(name, message.question)
            sent = watch_state.WatchState(message.known_version)
            while True:
                changed = self._changed
                began_s = anyio.current_time()
                await self._send_changes(responder, sent)
                sent.log_if_late(name, anyio.current_time() - began_s)
                await changed.wait()
                if not self.replica.is_leader:
                    raise self._not_leader_error()
        finally:
            self.watchers[name].remove(message.member)
            if not self.watchers[name]:
                del self.watchers[name]
                self.view_answers.close(name)

    async def _check_leadership(self) -> None:
        try:
            await self.replica.read_barrier()
        except consensus_exceptions.ConsensusError as error:
            raise self._not_leader_error() from error

    def _not_leader_error(self) -> transport_exceptions.RemoteError:
        leader = self.replica.leader
        if leader == self.replica.settings.address:
            leader = ""
        return transport_exceptions.RemoteError(
            attempts.NOT_LEADER, "this replica does not lead", leader
        )

    async def _send_changes(
        self, responder: incoming.Responder, sent: watch_state.WatchState
    ) -> None:
        # What is read from here on is as new as these, or newer.
        number = self._confirmation_number
        answered = self.view_answers.answered.get(responder.peer.name, 0)
        # Gateways are ready once they have the configuration and a list; what
        # binds them before is sent ahead of both.
        await self._send_early_items(responder, sent)
        image = self.site.image
        if self.site.has_configuration and image.version > sent.version:
            sent.version = image.version
            await self._send(responder, self._configuration_in_force())
        if image.weights != sent.weights:
            sent.weights = image.weights
            await responder.send(self._weights_in_force())
        table = self.site.hold_table()
        if table != sent.holds:
            sent.holds = table
            now_s = anyio.current_time()
            await responder.send(self.hold_ages.in_force(table, now_s))
        if self._is_listed and self.list_revision > sent.list_revision:
            sent.list_revision = self.list_revision
            await self._send(responder, self._target_list)
        # The list of a new leader is empty until its first confirmation.
        is_list_known = bool(self._gateway_list.members)
        if is_list_known and self._gateway_list is not sent.gateways:
            sent.gateways = self._gateway_list
            await self._send(responder, self._gateway_list)
        if (number, answered) != (sent.confirmation_number, sent.answered):
            sent.confirmation_number = number
            sent.answered = answered
            await responder.send(self._build_confirmation(answered, sent))
        if self._store_revision > sent.store_revision:
            await self._send_store_updates(responder, sent)

    async def _send_early_items(
        self, responder: incoming.Responder, sent: watch_state.WatchState
    ) -> None:
        image = self.site.image
        if image.builds != sent.builds:
            sent.builds = image.builds
            item = builds.in_force(image.builds, clocks.unix_ms())
            await responder.send(item)
        table = self.site.evacuation_table()
        if table != sent.evacuations:
            sent.evacuations = table
            now_s = anyio.current_time()
            await responder.send(self.evacuation_ages.in_force(table, now_s))

    async def _send_store_updates(
        self, responder: incoming.Responder, sent: watch_state.WatchState
    ) -> None:
        """Sends the changes of the stores, or the full contents.

        Full contents wait for the next notification while the link is busy
        with those of other gateways.
        """
        item = self._store_updates_since(sent.store_revision)
        if isinstance(item, messages.CompressedStoreUpdates):
            size = len(self._encoded.payload(item))
            if not self._contents_bucket.try_take_background(size):
                return
        # The revision is recorded before the send, so that a change during the
        # send is sent by the next pass.
        sent.store_revision = self._store_revision
        await self._send(responder, item)

    async def _send(self, responder: incoming.Responder, item: object) -> None:
        await responder.send(item, self._encoded.payload(item))

    def _weights_in_force(self) -> messages.WeightsInForce:
        now_s = anyio.current_time()
        announced = []
        for name, versions in self.announcements.by_model.items():
            for one in versions:
                age_ms = ages.to_ms(now_s - one.announced_s)
                announced.append(
                    messages.AnnouncedWeights(name, one.version, age_ms)
                )
        return messages.WeightsInForce(
            self.site.image.weights, tuple(announced)
        )

    def _configuration_in_force(self) -> messages.ConfigurationInForce:
        image = self.site.image
        if self._configuration.version != image.version:
            self._configuration = messages.ConfigurationInForce(
                image.version, image.document, image.shared_scope
            )
        return self._configuration

    def update_gateway_list(self) -> None:
        """Replaces the list of gateways if it changed.

        The list is compared once for each confirmation, so that a start of
        all gateways together does not send a list for each of them.
        """
        members = tuple(watches[-1] for watches in self.watchers.values())
        if set(members) != set(self._gateway_list.members):
            self._gateway_list = messages.GatewayList(members)

    def _store_updates_since(
        self, sent_revision: int
    ) -> messages.StoreUpdates | messages.CompressedStoreUpdates:
        """Returns the changes since a revision, or the full contents.

        Only the changes of the latest revision are retained, so a watch that
        missed a revision receives the full contents. So do all if the changes
        are many, as when the contents of a store were read.
        """
        count = sum(len(store.changes) for store in self._store_updates.stores)
        is_small = count <= MAX_CHANGED_PARTS
        if is_small and sent_revision == self._store_revision - 1:
            return self._store_updates
        if self._full_contents is None:
            # All gateways ask for it together after a start of the whole site.
            self._full_contents = messages.compress_updates(
                messages.StoreUpdates(
                    tuple(
                        contents.full_update()
                        for contents in self.contents.values()
                    )
                )
            )
        return self._full_contents

    def _build_confirmation(
        self, answered: int, sent: watch_state.WatchState
    ) -> messages.Confirmation:
        age_ms = ages.to_ms(anyio.current_time() - self.listed_at_s)
        return messages.Confirmation(
            age_ms, self._control, answered, sent.version
        )


def watch_handlers(
    feed: Feed,
) -> dict[type, collections.abc.Callable[..., typing.Any]]:
    """Returns the handlers of the calls that gateways make."""
    return {messages.Watch: feed.serve_watch}
