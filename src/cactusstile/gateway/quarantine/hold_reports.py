"""Tells the registries which requests to hold, and asks for trials."""

from __future__ import annotations

import logging
import random
import typing

import anyio

from cactusstile.sites import hold_messages
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.gateway.quarantine import quarantine as quarantines
    from cactusstile.transport import address
    from cactusstile.transport import pool as pools

    FindLeader = collections.abc.Callable[[], address.Address | None]

logger = logging.getLogger(__name__)

INTERVAL_S = 0.5
# Time for which gateways must have held the same keys: evidence of other ends
# may still arrive.
SETTLING_S = 1.0
# Longest additional wait: the first report spares those of other gateways.
MAX_DELAY_S = 2.0
CALL_TIMEOUT_S = 1.0


class HoldReports:
    """Reports the decisions of this gateway to the leader.

    Attributes:
      quarantine: Decides which requests to hold.
      pool: Connections to control processes.
      find_leader: Returns the address of the leader; None if it is unknown.
    """

    def __init__(
        self,
        quarantine: quarantines.Quarantine,
        pool: pools.Pool,
        find_leader: FindLeader,
    ) -> None:
        """Reports nothing yet."""
        self.quarantine = quarantine
        self.pool = pool
        self.find_leader = find_leader
        self._report_at_s: dict[frozenset[str], float] = {}

    async def run(self) -> None:
        """Reports for as long as the process runs."""
        while True:
            await anyio.sleep(INTERVAL_S)
            for call in self.collect(anyio.current_time()):
                await self._send(call)

    def collect(self, now_s: float) -> list[hold_messages.Command]:
        """Returns the calls that are due."""
        holds = self.quarantine.holds
        calls: list[hold_messages.Command] = []
        # Repeated until the leader has released them.
        self.quarantine.answered_holds &= holds.in_force.keys()
        for hold_id in sorted(self.quarantine.answered_holds):
            calls.append(hold_messages.ReleaseHold(hold_id))
        for hold in holds.take_refused(now_s):
            calls.append(hold_messages.BeginTrial(hold.id, hold.trials + 1))
        calls.extend(self._due_holds(now_s))
        return calls

    def _due_holds(
        self, now_s: float
    ) -> collections.abc.Iterator[hold_messages.ReportHold]:
        decided = self.quarantine.evidence.quarantined
        self._report_at_s = {
            keys: self._report_at_s.get(keys, now_s + _draw_delay_s())
            for keys in decided
        }
        for keys, due_s in self._report_at_s.items():
            if now_s < due_s or self.quarantine.holds.covers(keys):
                continue
            hold_id = hold_messages.hold_id(keys)
            route, workspace = self.quarantine.names.get(keys, ("", ""))
            yield hold_messages.ReportHold(
                hold_messages.Hold(
                    hold_id, tuple(sorted(keys)), route, workspace
                )
            )

    async def _send(self, call: hold_messages.Command) -> None:
        leader = self.find_leader()
        if leader is None:
            return
        try:
            outcome = await self.pool.call(
                leader, call, timeout_s=CALL_TIMEOUT_S
            )
        except (transport_exceptions.TransportError, TimeoutError) as error:
            logger.debug("a hold was not reported: %s", error)
            return
        if not isinstance(outcome, hold_messages.HoldOutcome):
            return
        if isinstance(call, hold_messages.BeginTrial) and outcome.is_done:
            now_s = anyio.current_time()
            self.quarantine.holds.permit_trial(call.id, now_s)
            logger.warning(
                "one request is sent on trial", extra={"hold": call.id}
            )


def _draw_delay_s() -> float:
    return SETTLING_S + random.random() * MAX_DELAY_S
