"""Maintains the membership of the replica group.

The group has an odd number of voters. An additional replica follows as a
learner and replaces a voter that is permanently lost.
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
# A voter that is silent for longer is replaced by an active learner. The group
# must bear another loss 4 s after the start of a successor.
LOST_AFTER_S = 1.5
# Time within which all members that run answer a new leader.
ANSWER_TIMEOUT_S = 0.5


@attrs.frozen
class Repair:
    """Replaces a member's lost incarnation by its new one, as a voter."""

    name: str


@attrs.frozen
class Promote:
    """Promotes a learner to a voter."""

    name: str


Step = Repair | Promote | membership.AddLearner | membership.Remove


def next_step(
    members: collections.abc.Sequence[replica.MemberStatus],
    joining: collections.abc.Sequence[messages.Hello],
    silence_s: collections.abc.Mapping[str, float],
    own_id: str,
) -> Step | None:
    """Returns the most urgent membership change; None if none is needed.

    Args:
      members: Members in the leader's view.
      joining: Replicas that announced themselves and are not members.
      silence_s: Time since each member was last active, in seconds, by id.
      own_id: Member id of the leader.
    """
    by_name = {status.member.name: status for status in members}
    for hello in joining:
        existing = by_name.get(hello.name)
        if existing is not None and existing.member.voter:
            return Repair(hello.name)
        if existing is None:
            return membership.AddLearner(
                hello.name, hello.incarnation, hello.address
            )
        return Repair(hello.name)
    voters = [status for status in members if status.member.voter]
    learners = [
        status
        for status in members
        if not status.member.voter and status.active
    ]
    lost = _longest_silent_voter(voters, silence_s, own_id)
    if lost is not None and len(voters) % 2 == 0:
        return membership.Remove(lost.member.id)
    # Learners are promoted in pairs, one after the other, so that the number of
    # voters stays odd. While a voter does not answer, they may have to replace
    # it: a group that grows instead needs the majority of more.
    may_grow = len(learners) > 1 and all(voter.active for voter in voters)
    if learners and (lost is not None or may_grow or len(voters) % 2 == 0):
        return Promote(learners[0].member.name)
    return None


def _longest_silent_voter(
    voters: collections.abc.Sequence[replica.MemberStatus],
    silence_s: collections.abc.Mapping[str, float],
    own_id: str,
) -> replica.MemberStatus | None:
    """Returns the voter that is silent for longest; None if none is lost."""
    lost_voter = None
    longest_s = LOST_AFTER_S
    for voter in voters:
        voter_silence_s = silence_s.get(voter.member.id, 0.0)
        if voter.member.id != own_id and voter_silence_s > longest_s:
            lost_voter, longest_s = voter, voter_silence_s
    return lost_voter


class Contacts:
    """Times at which this replica was last in contact with members.

    Attributes:
      last_seen_s: Time of the last contact, in loop seconds, by member id.
      leads_since_s: Time from which this replica leads; None if it does not.
      term: Term in which it leads.
    """

    def __init__(self) -> None:
        """Was in contact with nobody."""
        self.last_seen_s: dict[str, float] = {}
        self.leads_since_s: float | None = None
        self.term = 0

    def update(
        self, status: replica.ReplicaStatus, now_s: float, *, leads: bool
    ) -> None:
        """Records which members are in contact.

        A follower remembers its leader, so that a lost leader has been silent
        since then and not only since the next election.
        """
        if not leads:
            if self.leads_since_s is not None:
                self.last_seen_s.clear()
            self.leads_since_s = None
            for peer in status.members:
                if peer.member.address == status.leader_address:
                    self.last_seen_s = {peer.member.id: now_s}
            return
        if self.leads_since_s is None:
            self.leads_since_s = now_s
        elif status.term != self.term:
            # It lost the leadership and won it back since the last update.
            self.last_seen_s.clear()
            self.leads_since_s = now_s
        self.term = status.term
        for peer in status.members:
            if peer.active or peer.member.id not in self.last_seen_s:
                self.last_seen_s[peer.member.id] = now_s

    def silence_s(
        self, status: replica.ReplicaStatus, now_s: float
    ) -> dict[str, float]:
        """Returns how long each member has been silent, by id.

        Nobody counts as silent before a new leader could be answered.
        """
        since_s = self.leads_since_s
        if since_s is None or now_s - since_s < ANSWER_TIMEOUT_S:
            return {}
        return {
            peer.member.id: now_s - self.last_seen_s[peer.member.id]
            for peer in status.members
        }


async def run(own_replica: replica.Replica) -> None:
    """Applies membership changes while this replica is the leader."""
    contacts = Contacts()
    while True:
        leads = own_replica.is_leader
        now_s = anyio.current_time()
        status = own_replica.status()
        contacts.update(status, now_s, leads=leads)
        if leads and await _take_step(own_replica, status, contacts, now_s):
            # A group with an even number of voters bears no more losses.
            continue
        await anyio.sleep(CHECK_INTERVAL_S)


async def _take_step(
    own_replica: replica.Replica,
    status: replica.ReplicaStatus,
    contacts: Contacts,
    now_s: float,
) -> bool:
    """Makes the most urgent change; returns whether one was made."""
    step = next_step(
        status.members,
        status.joining,
        contacts.silence_s(status, now_s),
        status.member_id,
    )
    if step is None:
        return False
    try:
        with anyio.fail_after(CHANGE_TIMEOUT_S):
            await _execute(own_replica, step)
    except (exceptions.ConsensusError, TimeoutError) as error:
        logger.warning(
            "membership change failed; retrying",
            extra={"step": str(step), "error": str(error)},
        )
        return False
    logger.info("membership changed", extra={"step": str(step)})
    return True


async def _execute(own_replica: replica.Replica, step: Step) -> None:
    if isinstance(step, Repair):
        await own_replica.repair_member(step.name)
    elif isinstance(step, Promote):
        await own_replica.promote_member(step.name)
    else:
        await own_replica.change_membership(step)
