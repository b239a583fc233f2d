"""Receives the site's configuration from the leader of the control group."""

from __future__ import annotations

import itertools
import logging
import random
import typing

import anyio
import attrs

from cactusstile import clocks
from cactusstile import guards
from cactusstile.control import attempts
from cactusstile.gateway import site_view
from cactusstile.platform import configurations
from cactusstile.sites import ages
from cactusstile.sites import builds
from cactusstile.sites import discovery
from cactusstile.sites import documents
from cactusstile.sites import evacuation_messages
from cactusstile.sites import hold_messages
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import connection
    from cactusstile.transport import pool as pools

    ConfirmSharers = collections.abc.Callable[[int, float], None]
    Apply = collections.abc.Callable[[typing.Any, float], None]
    ApplyHolds = collections.abc.Callable[[hold_messages.HoldsInForce], None]

logger = logging.getLogger(__name__)

# Time without any message after which another control process is tried: three
# confirmation intervals.
SILENCE_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.1
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
      received_s: Loop time at which the bytes of the current item were read.
    """

    def __init__(
        self,
        pool: pools.Pool,
        site: site_view.SiteView,
        seeds: collections.abc.Sequence[address.Address],
        member: messages.GatewayMember,
    ) -> None:
        """Follows `seeds` and the control processes discovered through them.

        Args:
          pool: Connections to control processes.
          site: The view to update.
          seeds: Initial control processes.
          member: This gateway, as the others shall know it.
        """
        self.member = member
        self.pool = pool
        self.site = site
        self.seeds = tuple(seeds)
        self.leader: address.Address | None = None
        self.confirm_sharers: ConfirmSharers = lambda *_: None
        self.apply_holds: ApplyHolds = lambda _: None
        self.received_s = float("-inf")
        self._guard = guards.Guard("items of control")
        self._appliers: dict[type, Apply] = {
            messages.ConfigurationInForce: self._apply_configuration,
            messages.WeightsInForce: self._apply_weights,
            messages.TargetList: self._apply_target_list,
            messages.StoreUpdates: site.apply_store_updates,
            messages.CompressedStoreUpdates: self._apply_compressed_updates,
            messages.GatewayList: self._apply_gateways,
            messages.Confirmation: self._apply_confirmation,
            hold_messages.HoldsInForce: self._apply_holds,
            builds.BuildsInForce: self._apply_builds,
            evacuation_messages.EvacuationsInForce: self._apply_evacuations,
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
            try:
                redirect = await self._follow(target)
            except (
                transport_exceptions.TransportError,
                TimeoutError,
                ValueError,
            ) as error:
                redirect = None
                self._record_leader_lost(target, error)
            if redirect is None:
                jitter = 0.5 + random.random()
                await anyio.sleep(RETRY_INTERVAL_S * jitter)

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
        watch = messages.Watch(self.site.version, self.member)
        async with opened.open_stream(watch, pings=False) as stream:
            while True:
                with anyio.fail_after(SILENCE_TIMEOUT_S):
                    item = await anext(stream, None)
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

    def _apply_target_list(
        self, item: messages.TargetList, now_s: float
    ) -> None:
        del now_s
        listed = tuple(messages.decode_target(one) for one in item.targets)
        self.apply_targets(listed, "control")

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
        self.site.builds.confirm(clocks.boot_s())
        self.site.control = item.control
        if self.site.listed_s is not None:
            age_s = ages.to_s(item.list_age_ms)
            self.site.listed_s = max(self.site.listed_s, now_s - age_s)
        if self.member in self.site.gateways:
            self.confirm_sharers(len(self.site.gateways), now_s)

    def _apply_evacuations(
        self, item: evacuation_messages.EvacuationsInForce, now_s: float
    ) -> None:
        known = self.site.targets.evacuations
        before = known.data_centres
        known.replace(
            item.data_centres,
            {
                one.data_centre: now_s - ages.to_s(one.age_ms)
                for one in item.ended
            },
        )
        if known.data_centres != before:
            logger.info(
                "evacuations changed",
                extra={
                    "evacuated": sorted(known.data_centres),
                    "before": sorted(before),
                },
            )

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

    def _apply_weights(
        self, item: messages.WeightsInForce, now_s: float
    ) -> None:
        announced = list(item.announced)
        if not announced:
            # A control process of an older build sends no ages.
            for named in item.weights:
                announced.append(
                    messages.AnnouncedWeights(named.model, named.version, 0)
                )
        for weights in announced:
            before = self.site.weights.newest(weights.model)
            is_newer = self.site.weights.add(
                weights.model,
                weights.version,
                now_s - ages.to_s(weights.age_ms),
            )
            if not is_newer:
                continue
            logger.info(
                "newer weights were announced",
                extra={
                    "model": weights.model,
                    "version": weights.version,
                    "age_ms": weights.age_ms,
                    "before": 0 if before is None else before.version,
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


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
