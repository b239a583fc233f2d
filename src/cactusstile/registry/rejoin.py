"""Lets a replica that was replaced while it was away come back.

A voter that was lost for long gives its place to another replica. If it comes
back it holds a log of a group that it no longer belongs to, and nobody writes
to it. It then drops that log and joins anew.
"""

from __future__ import annotations

import logging
import pathlib
import shutil
import typing

import anyio

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import attempts
from cactusstile.registry import commands
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.transport import incoming
    from cactusstile.transport import pool as pools

logger = logging.getLogger(__name__)

# Time without a leader after which a replica asks whether it still belongs.
LEADERLESS_S = 2.0
CHECK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0
_REMOVED_SUFFIX = ".removed"


def handlers(
    of: replica.Replica,
) -> dict[type, incoming.CallHandler]:
    """Returns the handlers of other replicas' questions."""

    async def answer(
        _: incoming.Responder, message: commands.AskMembership
    ) -> object:
        try:
            await of.read_barrier()
        except consensus_exceptions.ConsensusError as error:
            raise transport_exceptions.RemoteError(
                attempts.NOT_LEADER, "ask the leader", of.leader
            ) from error
        members = of.status().members
        known = any(one.member.id == message.member_id for one in members)
        return commands.MembershipAnswer(known)

    return {commands.AskMembership: answer}


async def wait_until_removed(
    of: replica.Replica,
    pool: pools.Pool,
    others: collections.abc.Callable[[], collections.abc.Iterable[str]],
) -> None:
    """Returns once a leader confirmed that this replica was removed.

    Args:
      of: This process's replica.
      pool: Connections to other replicas.
      others: Returns addresses of replicas to ask.
    """
    led_s = anyio.current_time()
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        status = of.status()
        now_s = anyio.current_time()
        if status.leader_address or not status.group:
            led_s = now_s
            continue
        if now_s - led_s < LEADERLESS_S:
            continue
        for other in others():
            if await _was_removed(pool, other, status.member_id):
                logger.warning(
                    "this replica was replaced; it joins anew",
                    extra={"member": status.member_id, "told_by": other},
                )
                return


async def _was_removed(pool: pools.Pool, other: str, member_id: str) -> bool:
    """Returns whether the replica at `other` leads and does not know us."""
    try:
        answer = await pool.call(
            address.parse(other),
            commands.AskMembership(member_id),
            timeout_s=CALL_TIMEOUT_S,
        )
    except (transport_exceptions.TransportError, TimeoutError):
        return False
    if not isinstance(answer, commands.MembershipAnswer):
        return False
    return not answer.is_member


def drop_log(folder: pathlib.Path) -> None:
    """Removes the durable state of a replica that was removed."""
    removed = folder.with_name(folder.name + _REMOVED_SUFFIX)
    shutil.rmtree(removed, ignore_errors=True)
    folder.rename(removed)
    shutil.rmtree(removed, ignore_errors=True)
