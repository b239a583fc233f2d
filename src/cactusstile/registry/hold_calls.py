"""Calls by which gateways and operators change holds, on the leader."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import attempts
from cactusstile.control import commands
from cactusstile.sites import hold_messages
from cactusstile.sites import hold_trials
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.registry import feed as feeds
    from cactusstile.transport import incoming

logger = logging.getLogger(__name__)

EXPIRY_INTERVAL_S = 60.0


class HoldCalls:
    """Changes holds through the replicated log.

    Attributes:
      feed: Replicated state, and when this process learned of it.
      replica: This process's replica.
    """

    def __init__(self, feed: feeds.Feed, own_replica: replica.Replica) -> None:
        """Serves calls while `own_replica` is the leader."""
        self.feed = feed
        self.replica = own_replica

    def handlers(self) -> dict[type, incoming.CallHandler]:
        """Returns the handlers of the calls of gateways."""
        return {
            hold_messages.ReportHold: self._answer,
            hold_messages.ReleaseHold: self._answer,
            hold_messages.BeginTrial: self._answer_trial,
        }

    async def propose(
        self,
        command: hold_messages.Command,
    ) -> hold_messages.HoldOutcome:
        """Commits a command.

        Raises:
          ConsensusError: This replica does not lead, or the outcome is unknown.
        """
        result = await self.replica.propose(commands.pack(command))
        outcome = typing.cast(
            "hold_messages.HoldOutcome", commands.unpack_result(result)
        )
        logger.info(
            "holds changed",
            extra={
                "command": type(command).__name__,
                "hold": _id_of(command),
                "done": outcome.is_done,
            },
        )
        return outcome

    async def _answer(
        self,
        _: incoming.Responder,
        command: hold_messages.ReportHold | hold_messages.ReleaseHold,
    ) -> object:
        # Many gateways report the same, and a full table stays full.
        table = self.feed.site.hold_table()
        changed = table.after(command)
        if changed is None or changed == table:
            return hold_messages.HoldOutcome(changed is not None)
        return await self._propose_as_leader(command)

    async def _answer_trial(
        self, _: incoming.Responder, command: hold_messages.BeginTrial
    ) -> object:
        hold = self.feed.site.hold_table().find(command.id)
        if hold is None:
            return hold_messages.HoldOutcome(False)
        age_s = self.feed.hold_ages.age_s(hold, anyio.current_time())
        if age_s < hold_trials.trial_wait_s(hold):
            return hold_messages.HoldOutcome(False)
        return await self._propose_as_leader(command)

    async def _propose_as_leader(
        self,
        command: hold_messages.Command,
    ) -> hold_messages.HoldOutcome:
        try:
            return await self.propose(command)
        except consensus_exceptions.ConsensusError as error:
            raise transport_exceptions.RemoteError(
                attempts.NOT_LEADER, str(error), self.replica.leader
            ) from error

    async def run_expiry(self) -> None:
        """Releases holds that are too old, for as long as the process runs."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_S)
            if not self.replica.is_leader:
                continue
            now_s = anyio.current_time()
            table = self.feed.site.hold_table()
            for hold_id in self.feed.hold_ages.expired(table, now_s):
                try:
                    await self.propose(hold_messages.ReleaseHold(hold_id))
                except consensus_exceptions.ConsensusError as error:
                    logger.warning(
                        "a hold was not released", extra={"error": str(error)}
                    )


def _id_of(
    command: hold_messages.Command,
) -> str:
    if isinstance(command, hold_messages.ReportHold):
        return command.hold.id
    return command.id
