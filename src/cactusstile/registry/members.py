"""Keeps the replica group whole: joins, repairs and replacements.

The group votes with an odd number of replicas. A replica beyond that follows
as a learner and replaces a voter that is lost for good.
"""

from __future__ import annotations

import logging
import typing

import anyio
import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import membership

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import messages
    from cactusstile.consensus import replica

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.25
CHANGE_TIMEOUT_S = 5.0
# Silence after which a voter gives its place to a learner that is in touch.
LOST_AFTER_S = 6.0


@attrs.frozen
class Repair:
    """Replaces the lost incarnation of a member, and lets it vote again."""

    name: str


@attrs.frozen
class Promote:
    """Lets a learner vote."""

    name: str


Step = Repair | Promote | membership.AddLearner | membership.Remove


def next_step(
    members: collections.abc.Sequence[replica.MemberStatus],
    joining: collections.abc.Sequence[messages.Hello],
    silent_s: collections.abc.Mapping[str, float],
    own_id: str,
) -> Step | None:
    """Returns the most urgent change of the members, if any.

    Args:
      members: Members as the leader sees them.
      joining: Replicas that made themselves known and are no members.
      silent_s: Time since each silent member was last heard, by identity.
      own_id: Identity of the leader.
    """
    by_name = {one.member.name: one for one in members}
    for hello in joining:
        known = by_name.get(hello.name)
        if known is not None and known.member.voter:
            return Repair(hello.name)
        if known is None:
            return membership.AddLearner(
                hello.name, hello.incarnation, hello.address
            )
        return Repair(hello.name)
    voters = [one for one in members if one.member.voter]
    learners = [one for one in members if not one.member.voter and one.active]
    lost = _longest_lost(voters, silent_s, own_id)
    if lost is not None and len(voters) % 2 == 0:
        return membership.Remove(lost.member.id)
    # Two learners at once keep the number of voters odd.
    if learners and (
        lost is not None or len(learners) > 1 or len(voters) % 2 == 0
    ):
        return Promote(learners[0].member.name)
    return None


def _longest_lost(
    voters: collections.abc.Sequence[replica.MemberStatus],
    silent_s: collections.abc.Mapping[str, float],
    own_id: str,
) -> replica.MemberStatus | None:
    """Returns the voter that is silent for longest, if that is for good."""
    found = None
    longest_s = LOST_AFTER_S
    for one in voters:
        since_s = silent_s.get(one.member.id, 0.0)
        if one.member.id != own_id and since_s > longest_s:
            found, longest_s = one, since_s
    return found


async def run(of: replica.Replica) -> None:
    """Changes the members for as long as this replica leads."""
    heard_s: dict[str, float] = {}
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        if not of.is_leader:
            heard_s.clear()
            continue
        now_s = anyio.current_time()
        status = of.status()
        silent_s = {}
        for one in status.members:
            if one.active or one.member.id not in heard_s:
                heard_s[one.member.id] = now_s
            silent_s[one.member.id] = now_s - heard_s[one.member.id]
        step = next_step(
            status.members, status.joining, silent_s, status.member_id
        )
        if step is None:
            continue
        try:
            with anyio.fail_after(CHANGE_TIMEOUT_S):
                await _carry_out(of, step)
            logger.info("members changed", extra={"step": str(step)})
        except (exceptions.ConsensusError, TimeoutError) as error:
            logger.warning(
                "a change of the members failed; tried again",
                extra={"step": str(step), "error": str(error)},
            )


async def _carry_out(of: replica.Replica, step: Step) -> None:
    if isinstance(step, Repair):
        await of.repair_member(step.name)
    elif isinstance(step, Promote):
        await of.promote_member(step.name)
    else:
        await of.change_membership(step)
