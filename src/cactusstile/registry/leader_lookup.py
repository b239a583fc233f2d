"""Finds the leading control process by asking others.

Serves processes that hold no replica themselves.
"""

from __future__ import annotations

import typing

import anyio

from cactusstile.registry import commands
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.transport import incoming
    from cactusstile.transport import pool as pools

# Operators wait one second for an answer, which covers three silent peers.
CALL_TIMEOUT_S = 0.25
REPEAT_INTERVAL_S = 0.05


def handlers(
    own_replica: replica.Replica,
) -> dict[type, incoming.CallHandler]:
    """Returns the handlers of the calls that `LeaderLookup` makes."""

    async def answer(
        _: incoming.Responder, message: commands.FindLeader
    ) -> object:
        del message
        members = own_replica.status().members
        control = tuple(peer.member.address for peer in members)
        return commands.LeaderFound(own_replica.leader, control)

    return {commands.FindLeader: answer}


class LeaderLookup:
    """Asks control processes which of them leads.

    Attributes:
      pool: Connections to control processes.
      seeds: Control processes from the settings; a reload may replace them.
      known: Control processes that the last answer named.
      leader: Leader of the last answer; None before the first.
    """

    def __init__(
        self,
        pool: pools.Pool,
        seeds: collections.abc.Sequence[address.Address],
    ) -> None:
        """Asks `seeds` first, later the processes that they name."""
        self.pool = pool
        self.seeds = tuple(seeds)
        self.known: tuple[address.Address, ...] = ()
        self.leader: address.Address | None = None

    async def find(self) -> address.Address:
        """Returns the leader; asks again until a process knows it.

        Right after an election the other replicas do not know the new leader
        yet. The caller bounds the time.
        """
        while True:
            found = await self._ask_once()
            if found is not None:
                return found
            await anyio.sleep(REPEAT_INTERVAL_S)

    async def _ask_once(self) -> address.Address | None:
        """Returns the leader, or None if no process answers with one."""
        for peer in self._candidates():
            try:
                answer = await self.pool.call(
                    peer, commands.FindLeader(), timeout_s=CALL_TIMEOUT_S
                )
            except (transport_exceptions.TransportError, TimeoutError):
                continue
            if not isinstance(answer, commands.LeaderFound):
                continue
            named = address.parse_valid((answer.leader,))
            if not named:
                continue
            self.known = address.parse_valid(answer.control)
            self.leader = named[0]
            return self.leader
        self.leader = None
        return None

    def _candidates(self) -> list[address.Address]:
        candidates = [*self.known, *self.seeds]
        if self.leader is not None:
            candidates.insert(0, self.leader)
        return list(dict.fromkeys(candidates))
