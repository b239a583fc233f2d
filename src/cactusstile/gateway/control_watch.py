"""Receives the site's configuration from the leader of the control group."""

from __future__ import annotations

import contextlib
import functools
import itertools
import logging
import random
import typing

import anyio
import attrs

from cactusstile import clocks
from cactusstile import guards
from cactusstile.control import attempts
from cactusstile.gateway import exceptions
from cactusstile.gateway import leader_evidence
from cactusstile.gateway import site_view
from cactusstile.gateway import view_items
from cactusstile.platform import configurations
from cactusstile.sites import ages
from cactusstile.sites import builds
from cactusstile.sites import discovery
from cactusstile.sites import documents
from cactusstile.sites import evacuation_messages
from cactusstile.sites import hold_messages
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.sites import view_messages
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import connection
    from cactusstile.transport import pool as pools

    ConfirmSharers = collections.abc.Callable[[int, float], None]
    Apply = collections.abc.Callable[[typing.Any, float], None]
    HeldUp = collections.abc.Callable[[], float]
    ApplyHolds = collections.abc.Callable[[hold_messages.HoldsInForce], None]

logger = logging.getLogger(__name__)

# Time without any message after which another control process is tried: three
# confirmation intervals.
SILENCE_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.1
# Time in which messages that arrived during a pause of this process are read,
# before the other one counts as silent.
BUFFERED_TIMEOUT_S = 0.1
# Time until control is asked again for a configuration that was not applied.
RESEND_INTERVAL_S = 1.0
# A question older than this shows that its answer was held up on the way.
PROMPT_ANSWER_S = 1.0
# Items that hold changes since the one before.
_CUMULATIVE = (messages.StoreUpdates, messages.CompressedStoreUpdates)


class ControlWatch:
    """Keeps the local view of the site up to date.

    Attributes:
      member: This gateway, as the others shall know it.
      pool: Connections to control processes.
      site: The view to update.
      seeds: Initial control processes.
      leader: Control process that currently sends updates; None without one.
      confirm_sharers: Called with the number of gateways and the loop time when
        control confirms a list that names this one.
      apply_holds: Called with the holds in force.
      held_up_s: Returns for how long items may have waited in a pause of this
        process, in seconds.
      received_s: Loop time at which the bytes of the current item were read.
    """

    def __init__(
        self,
        pool: pools.Pool,
        site: site_view.SiteView,
        seeds: collections.abc.Sequence[address.Address],
        member: messages.GatewayMember,
    ) -> None:
        """Follows `seeds` and those discovered through them; see the class."""
        self.member = member
        self.pool = pool
        self.site = site
        self.seeds = tuple(seeds)
        self.leader: address.Address | None = None
        self.confirm_sharers: ConfirmSharers = lambda *_: None
        self.apply_holds: ApplyHolds = lambda _: None
        self.held_up_s: HeldUp = lambda: 0.0
        self.received_s = float("-inf")
        self._guard = guards.Guard("items of control")
        self._connection: connection.Connection | None = None
        self._answers = False
        self._was_current = False
        self._evidence = leader_evidence.LeaderEvidence()
        site.view_age.ask_soon = self.ask_soon
        site.view_age.nobody_leads = self.nobody_leads
        self._appliers = self._build_appliers()

    def _build_appliers(self) -> dict[type, Apply]:
        """Returns the functions that apply items, by type of item."""
        site = self.site
        return {
            messages.ConfigurationInForce: self._apply_configuration,
            messages.WeightsInForce: self._apply_weights,
            messages.TargetList: self._apply_target_list,
            messages.StoreUpdates: site.apply_store_updates,
            messages.CompressedStoreUpdates: self._apply_compressed_updates,
            messages.GatewayList: self._apply_gateways,
            messages.Confirmation: self._apply_confirmation,
            hold_messages.HoldsInForce: self._apply_holds,
            builds.BuildsInForce: self._apply_builds,
            evacuation_messages.EvacuationsInForce: functools.partial(
                view_items.apply_evacuations, site
            ),
        }

    async def run(self) -> None:
        """Follows the leader for as long as the process runs."""
        redirect: address.Address | None = None
        for attempt_number in itertools.count():
            target = redirect or self._next_candidate(attempt_number)
            if target is None:
                # The settings contain no seed; a reload may add one.
                await anyio.sleep(SILENCE_TIMEOUT_S)
                continue
            asked_s = clocks.boot_s()
            try:
                redirect = await self._follow(target)
            except (
                transport_exceptions.TransportError,
                TimeoutError,
                ValueError,
            ) as error:
                redirect = None
                if leader_evidence.shows_no_leader(error):
                    self._evidence.record(str(target), asked_s)
                self._record_leader_lost(target, error)
            except exceptions.SupersededError as error:
                redirect = None
                self._record_leader_lost(target, error)
                await anyio.sleep(RESEND_INTERVAL_S)
            if redirect is None:
                jitter = 0.5 + random.random()
                await anyio.sleep(RETRY_INTERVAL_S * jitter)

    def nobody_leads(self) -> bool:
        """Returns whether the control group certainly has no leader.

        It is of use only if this view was current as the last one was lost: a
        change may have been accepted just before.
        """
        return self._was_current and self._evidence.proves_none(
            self.site.control, clocks.boot_s()
        )

    def ask_soon(self) -> None:
        """Asks at once whether the view is the newest; requests wait."""
        self._ask(urgent=True)

    def _ask(self, *, urgent: bool) -> None:
        opened = self._connection
        if opened is None or not self._answers:
            # The next watch asks; older builds answer no questions.
            return
        number = self.site.view_age.ask()
        opened.notify(view_messages.ViewQuestion(number, urgent), pings=False)

    def _next_candidate(self, attempt_number: int) -> address.Address | None:
        """Returns the next control process to try; None without any."""
        discovered = address.parse_valid(self.site.control)
        candidates = list(dict.fromkeys([*discovered, *self.seeds]))
        if not candidates:
            return None
        return candidates[attempt_number % len(candidates)]

    def _record_leader_lost(
        self, target: address.Address, error: BaseException
    ) -> None:
        if self.leader is None:
            return
        self.leader = None
        self._was_current = self.site.view_age.is_current()
        logger.warning(
            "lost the connection to the leading control process",
            extra={"control": str(target), "error": str(error)},
        )

    async def _follow(self, target: address.Address) -> address.Address | None:
        """Follows one control process until its stream ends.

        Returns the address of the leader if the process is not the leader
        itself and has its address, else None.

        Raises:
          TransportError: The process is unreachable or reports an error.
          TimeoutError: The process sent nothing for too long.
        """
        opened = await self.pool.connect(
            target, dial_timeout_s=CONNECT_TIMEOUT_S
        )
        try:
            await self._receive_items(opened, target)
        except transport_exceptions.RemoteError as error:
            if error.code != attempts.NOT_LEADER or not error.detail:
                raise
            return address.parse(error.detail)
        except TimeoutError:
            # An unresponsive connection must not be reused.
            opened.close()
            raise
        return None

    async def _receive_items(
        self, opened: connection.Connection, target: address.Address
    ) -> None:
        question = self.site.view_age.ask()
        watch = messages.Watch(self.site.version, self.member, question)
        async with (
            self._asking_over(opened),
            opened.open_stream(watch, pings=False) as stream,
        ):
            while True:
                item = await _next_item(stream)
                if item is None:
                    await stream.result()
                    return
                if self.leader != target:
                    self.leader = target
                    logger.info(
                        "following the leading control process",
                        extra={"control": str(target)},
                    )
                self.received_s = stream.inbox.received_s
                self._apply_item(item)
                if isinstance(item, messages.Confirmation):
                    self._check_version(item)
                    self._ask(urgent=False)

    @contextlib.asynccontextmanager
    async def _asking_over(
        self, opened: connection.Connection
    ) -> collections.abc.AsyncIterator[None]:
        """Sends questions over a connection while the context is open."""
        self._connection = opened
        self._answers = False
        try:
            yield
        finally:
            self._connection = None

    def _check_version(self, item: messages.Confirmation) -> None:
        """Checks that the configuration that was confirmed is in force.

        Raises:
          SupersededError: It was sent before, but could not be applied.
        """
        if not self.site.view_age.is_superseded:
            return
        raise exceptions.SupersededError(
            f"version {item.version} was sent, but {self.site.version} is in"
            " force"
        )

    def _apply_item(self, item: object) -> None:
        apply = self._appliers.get(type(item))
        if apply is None:
            return
        if isinstance(item, _CUMULATIVE):
            # A fault ends the connection: the next one begins anew.
            apply(item, anyio.current_time())
            return
        with self._guard.contain():
            apply(item, anyio.current_time())

    def _apply_weights(
        self, item: messages.WeightsInForce, now_s: float
    ) -> None:
        view_items.apply_weights(self.site, item, now_s - self.held_up_s())

    def _apply_target_list(
        self, item: messages.TargetList, now_s: float
    ) -> None:
        del now_s
        listed = tuple(messages.decode_target(one) for one in item.targets)
        listed_s = self.site.listed_s
        self.apply_targets(listed, "control")
        if listed_s is not None:
            # Only a confirmation tells when the list was read.
            self.site.listed_s = listed_s

    def _apply_compressed_updates(
        self, item: messages.CompressedStoreUpdates, now_s: float
    ) -> None:
        updates = messages.decompress_updates(item)
        self.site.apply_store_updates(updates, now_s)

    def _apply_holds(
        self, item: hold_messages.HoldsInForce, now_s: float
    ) -> None:
        del now_s
        self.apply_holds(item)

    def _apply_gateways(self, item: messages.GatewayList, now_s: float) -> None:
        del now_s
        self.site.gateways = item.members

    def _apply_builds(self, item: builds.BuildsInForce, now_s: float) -> None:
        self.site.builds.apply(item, now_s)
        self.site.builds.confirm(clocks.boot_s())

    def _apply_confirmation(
        self, item: messages.Confirmation, now_s: float
    ) -> None:
        self.site.confirmed_s = now_s
        if item.control:
            self.site.control = item.control
        view_age = self.site.view_age
        self._answers = bool(item.question)
        is_newer = item.version > self.site.version
        view_age.is_superseded = self._answers and is_newer
        if view_age.is_superseded:
            return
        delay_s = 0.0
        if self._answers:
            delay_s = view_age.confirm(item.question)
        else:
            # A control process of an older build answers no questions.
            view_age.record(clocks.boot_s())
        if delay_s < PROMPT_ANSWER_S:
            # The question is older than the answer by some of their interval.
            delay_s = 0.0
        self.site.builds.confirm(clocks.boot_s() - delay_s)
        if self.site.listed_s is not None:
            read_s = now_s - delay_s - ages.to_s(item.list_age_ms)
            self.site.listed_s = max(self.site.listed_s, read_s)
        if self.member in self.site.gateways and not delay_s:
            self.confirm_sharers(len(self.site.gateways), now_s)

    def _apply_configuration(
        self, item: messages.ConfigurationInForce, now_s: float
    ) -> None:
        before = self.site.version
        document = documents.decompress(item.document)
        try:
            configuration = configurations.decode(document)
        except model.InvalidConfigurationError:
            logger.exception("received an invalid configuration from control")
            return
        configuration = attrs.evolve(
            configuration, shared_scope=item.shared_scope
        )
        if self.site.replace_configuration(configuration):
            logger.info(
                "applied a new configuration",
                extra={
                    "version": configuration.version,
                    "before": before,
                    "waited_ms": _to_ms(now_s - self.received_s),
                    "took_ms": _to_ms(anyio.current_time() - now_s),
                },
            )

    def apply_targets(
        self, listed: tuple[model.Target, ...], source: str
    ) -> None:
        """Applies a list of targets and logs the changes."""
        change = discovery.describe_change(self.site.listed, listed)
        if change:
            logger.info("targets changed", extra={"source": source, **change})
        self.site.replace_targets(listed, anyio.current_time())


async def _next_item(stream: connection.ClientStream) -> object | None:
    """Returns the next item of a watch; None at its end.

    Raises:
      TimeoutError: The control process sent nothing for too long.
    """
    with anyio.move_on_after(SILENCE_TIMEOUT_S):
        return await anext(stream, None)
    with anyio.fail_after(BUFFERED_TIMEOUT_S):
        return await anext(stream, None)


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
