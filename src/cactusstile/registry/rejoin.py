"""Detects that this replica was replaced, so that it can join again.

A voter that is silent for long is replaced by another replica. When it
restarts, its log is that of a group which it is no longer a member of, and no
member sends it messages. It then has to discard its data and join as a new
member.
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

# Time without a leader after which a replica asks whether it is still a member.
LEADERLESS_S = 2.0
CHECK_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 1.0
_REMOVED_SUFFIX = ".removed"


def handlers(
    own_replica: replica.Replica,
) -> dict[type, incoming.CallHandler]:
    """Returns the handlers of the calls that other replicas make."""

    async def answer(
        _: incoming.Responder, message: commands.AskMembership
    ) -> object:
        try:
            await own_replica.read_barrier()
        except consensus_exceptions.ConsensusError as error:
            raise transport_exceptions.RemoteError(
                attempts.NOT_LEADER, "ask the leader", own_replica.leader
            ) from error
        is_member = own_replica.is_member(message.member_id)
        return commands.MembershipAnswer(is_member)

    return {commands.AskMembership: answer}


async def wait_until_removed(
    own_replica: replica.Replica,
    pool: pools.Pool,
    list_peers: collections.abc.Callable[[], collections.abc.Iterable[str]],
) -> None:
    """Waits until a leader has confirmed that this replica was removed.

    Args:
      own_replica: This process's replica.
      pool: Connections to other replicas.
      list_peers: Returns the addresses of the replicas to ask.
    """
    leader_seen_s = anyio.current_time()
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        status = own_replica.status()
        now_s = anyio.current_time()
        if status.leader_address or not status.group:
            leader_seen_s = now_s
            continue
        if now_s - leader_seen_s < LEADERLESS_S:
            continue
        for peer in list_peers():
            if await _was_removed(pool, peer, status.member_id):
                logger.warning(
                    "this replica was replaced; joining as a new member",
                    extra={"member": status.member_id, "told_by": peer},
                )
                return


async def _was_removed(pool: pools.Pool, peer: str, member_id: str) -> bool:
    """Returns whether `peer` leads a group without this member."""
    try:
        answer = await pool.call(
            address.parse(peer),
            commands.AskMembership(member_id),
            timeout_s=CALL_TIMEOUT_S,
        )
    except (transport_exceptions.TransportError, TimeoutError, ValueError):
        return False
    if not isinstance(answer, commands.MembershipAnswer):
        return False
    return not answer.is_member


def discard_replica_data(folder: pathlib.Path) -> None:
    """Deletes the durable state of a replica that was removed.

    The folder is renamed first, so that an interrupted deletion leaves no
    partial state at the path that the next start reads.
    """
    removed = folder.with_name(folder.name + _REMOVED_SUFFIX)
    shutil.rmtree(removed, ignore_errors=True)
    folder.rename(removed)
    shutil.rmtree(removed, ignore_errors=True)
