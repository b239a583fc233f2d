"""Follows what is in force, from whichever control process leads."""

from __future__ import annotations

import itertools
import logging
import random
import typing

import anyio

from cactusstile.control import attempts
from cactusstile.gateway import site_view
from cactusstile.platform import configurations
from cactusstile.sites import discovery
from cactusstile.sites import documents
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.transport import connection
    from cactusstile.transport import pool as pools

logger = logging.getLogger(__name__)

# Time without any word after which another control process is asked: three
# confirmations.
SILENCE_LIMIT_S = 1.2
DIAL_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.1


class ControlWatch:
    """Keeps a site view up to date.

    Attributes:
      site: The view that is kept.
      seeds: Control processes to ask first.
      leader: Control process that answers now; None while there is none.
    """

    def __init__(
        self,
        pool: pools.Pool,
        site: site_view.SiteView,
        seeds: collections.abc.Sequence[address.Address],
        own_address: str,
    ) -> None:
        """Asks `seeds` and whom they name.

        Args:
          pool: Connections to control processes.
          site: The view to keep.
          seeds: Control processes to ask first.
          own_address: Where this gateway takes the loads of others.
        """
        self.own_address = own_address
        self.pool = pool
        self.site = site
        self.seeds = tuple(seeds)
        self.leader: address.Address | None = None

    async def run(self) -> None:
        """Follows the leader for as long as the process runs."""
        hint: address.Address | None = None
        for turn in itertools.count():
            target = hint or self._next_candidate(turn)
            if target is None:
                # The settings name no seed; they may be changed.
                await anyio.sleep(SILENCE_LIMIT_S)
                continue
            try:
                hint = await self._follow(target)
            except (
                transport_exceptions.TransportError,
                TimeoutError,
                ValueError,
            ) as error:
                hint = None
                self._note_lost(target, error)
            if hint is None:
                jitter = 0.5 + random.random()
                await anyio.sleep(RETRY_INTERVAL_S * jitter)

    def _next_candidate(self, turn: int) -> address.Address | None:
        """Returns the control process to ask next, if any is known."""
        known = [address.parse(one) for one in self.site.control]
        candidates = list(dict.fromkeys([*known, *self.seeds]))
        if not candidates:
            return None
        return candidates[turn % len(candidates)]

    def _note_lost(self, target: address.Address, error: BaseException) -> None:
        if self.leader is None:
            return
        self.leader = None
        logger.warning(
            "the control process that leads is lost",
            extra={"control": str(target), "error": str(error)},
        )

    async def _follow(self, target: address.Address) -> address.Address | None:
        """Follows one control process; returns whom to ask instead.

        Raises:
          TransportError: It cannot be reached or does not answer.
        """
        opened = await self.pool.connect(target, dial_timeout_s=DIAL_TIMEOUT_S)
        try:
            await self._take_items(opened, target)
        except transport_exceptions.RemoteError as error:
            if error.code != attempts.NOT_LEADER or not error.detail:
                raise
            return address.parse(error.detail)
        except TimeoutError:
            # A connection that went silent is not used again.
            opened.close()
            raise
        return None

    async def _take_items(
        self, opened: connection.Connection, target: address.Address
    ) -> None:
        watch = messages.Watch(self.site.version, self.own_address)
        async with opened.open_stream(watch, pings=False) as stream:
            while True:
                with anyio.fail_after(SILENCE_LIMIT_S):
                    item = await anext(stream, None)
                if item is None:
                    await stream.result()
                    return
                if self.leader != target:
                    self.leader = target
                    logger.info(
                        "a control process leads",
                        extra={"control": str(target)},
                    )
                self._take(item)

    def _take(self, item: object) -> None:
        now_s = anyio.current_time()
        if isinstance(item, messages.ConfigurationInForce):
            self._take_configuration(item)
        elif isinstance(item, messages.WeightsInForce):
            self._take_weights(item)
        elif isinstance(item, messages.TargetList):
            listed = tuple(messages.decode_target(one) for one in item.targets)
            self.take_targets(listed, "control")
        elif isinstance(item, messages.StoreUpdates):
            self.site.take_stores(item, now_s)
        elif isinstance(item, messages.Confirmation):
            self.site.confirmed_s = now_s
            self.site.gateways = item.gateways
            self.site.control = item.control
            if self.site.listed_s is not None:
                age_s = item.list_age_ms / 1000
                self.site.listed_s = max(self.site.listed_s, now_s - age_s)

    def _take_configuration(self, item: messages.ConfigurationInForce) -> None:
        before = self.site.version
        document = documents.decompress(item.document)
        try:
            read = configurations.decode(document)
        except model.InvalidConfigurationError:
            logger.exception("control sent a configuration that is invalid")
            return
        if self.site.replace_configuration(read):
            logger.info(
                "a configuration is in force",
                extra={"version": read.version, "before": before},
            )

    def _take_weights(self, item: messages.WeightsInForce) -> None:
        for one in item.weights:
            if one.version > self.site.weights.get(one.model, 0):
                self.site.weights[one.model] = one.version
                self.site.named_s[one.model] = anyio.current_time()

    def take_targets(
        self, listed: tuple[model.Target, ...], source: str
    ) -> None:
        """Takes a list of targets over, and logs what changed."""
        change = discovery.describe_change(self.site.listed, listed)
        if change:
            logger.info("targets changed", extra={"source": source, **change})
        self.site.replace_targets(listed, anyio.current_time())
