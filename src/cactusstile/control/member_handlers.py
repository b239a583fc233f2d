"""Handlers of operator calls about the members of the replica groups."""

from __future__ import annotations

import json
import typing

import attrs

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.consensus import membership
from cactusstile.control import member_messages
from cactusstile.control import state as states
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.transport import incoming


def build(state: states.ControlState) -> dict[type, incoming.CallHandler]:
    """Returns the handlers; the caller must restrict them to operators."""

    async def read_members(
        _: incoming.Responder, message: member_messages.ReadMembers
    ) -> object:
        return describe_group(
            message.group, _find_replica(state, message.group)
        )

    async def change_member(
        _: incoming.Responder, message: member_messages.ChangeMember
    ) -> object:
        try:
            index = await _change_members(
                _find_replica(state, message.group), message
            )
        except consensus_exceptions.ConsensusError as error:
            raise states.to_remote_error(error) from error
        return member_messages.MemberChanged(index)

    return {
        member_messages.ReadMembers: read_members,
        member_messages.ChangeMember: change_member,
    }


def _find_replica(state: states.ControlState, group: str) -> replica.Replica:
    group_replica = state.replicas.get(group)
    if group_replica is None:
        known_groups = ", ".join(state.replicas)
        raise transport_exceptions.RemoteError(
            "bad_request", f"no group {group!r}; known: {known_groups}"
        )
    return group_replica


async def _change_members(
    group_replica: replica.Replica, message: member_messages.ChangeMember
) -> int:
    match message.action:
        case "repair":
            return await group_replica.repair_member(message.name)
        case "add":
            return await _add_learner(group_replica, message.name)
        case "promote":
            return await group_replica.promote_member(message.name)
        case "remove":
            change = membership.Remove(
                _find_member_id(group_replica.status(), message.name)
            )
        case _:
            raise transport_exceptions.RemoteError(
                "bad_request", f"no action {message.action!r}"
            )
    return await group_replica.change_membership(change)


async def _add_learner(group_replica: replica.Replica, name: str) -> int:
    """Adds a learner; does nothing if it is already added and active.

    A learner of this name that is not active is replaced, since a replica may
    lose its disk again before its promotion.

    Returns:
      The log index of the change, or the commit index if there is none.
    """
    status = group_replica.status()
    unresponsive_id = ""
    for entry in status.members:
        if entry.member.name != name or entry.member.voter:
            continue
        if entry.active:
            return status.commit_index
        unresponsive_id = entry.member.id
    for joining in status.joining:
        if joining.name != name:
            continue
        learner = (name, joining.incarnation, joining.address)
        if unresponsive_id:
            return await group_replica.change_membership(
                membership.Replace(unresponsive_id, *learner)
            )
        return await group_replica.change_membership(
            membership.AddLearner(*learner)
        )
    raise consensus_exceptions.MembershipError(
        f"{name} has not announced itself; start it with the same founders"
    )


def _find_member_id(status: replica.ReplicaStatus, name: str) -> str:
    for entry in status.members:
        if entry.member.name == name:
            return entry.member.id
    raise consensus_exceptions.NotMemberError(f"{name} is not a member")


def describe_group(
    group: str, group_replica: replica.Replica
) -> member_messages.Members:
    """Returns the local view of a group."""
    status = group_replica.status()
    members = [
        member_messages.MemberState(
            entry.member.name,
            entry.member.incarnation,
            entry.member.address,
            entry.member.voter,
            entry.synced_index,
            entry.active,
        )
        for entry in status.members
    ]
    for joining in status.joining:
        waiting = member_messages.MemberState(
            joining.name, joining.incarnation, joining.address, False
        )
        members.append(attrs.evolve(waiting, joining=True))
    return member_messages.Members(
        group,
        status.leader_address,
        status.term,
        status.commit_index,
        tuple(members),
    )


@attrs.frozen
class ControlDump:
    """State of a control process for operators.

    Attributes:
      name: Name of the process.
      revision: Revision in force.
      claims: Number of stored claims.
      fences: Last fencing number by target.
      children: Names of the children in the delivery tree.
      beacon: Number of the last beacon of the leader.
      groups: Local view of each replica group.
    """

    name: str
    revision: int
    claims: int
    fences: dict[str, int]
    children: list[str]
    beacon: int
    groups: list[member_messages.Members]


def describe_process(state: states.ControlState) -> ControlDump:
    """Returns the state of this process."""
    fences = state.configuration.fences
    return ControlDump(
        state.settings.process.name,
        state.configuration.fleet.revision,
        len(state.claims),
        {target: last.number for target, last in fences.items()},
        state.relay.children(),
        state.relay.beacon,
        [
            describe_group(name, group_replica)
            for name, group_replica in state.replicas.items()
        ],
    )


def dump(state: states.ControlState) -> str:
    """Returns the state of this process as JSON."""
    return json.dumps(attrs.asdict(describe_process(state)), indent=2)
