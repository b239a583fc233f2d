"""Operators' calls about the members of the replica groups."""

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
    """Returns the handlers; the caller restricts them to operators."""

    async def read_members(
        _: incoming.Responder, message: member_messages.ReadMembers
    ) -> object:
        return describe(message.group, _find(state, message.group))

    async def change_member(
        _: incoming.Responder, message: member_messages.ChangeMember
    ) -> object:
        try:
            index = await _change(_find(state, message.group), message)
        except consensus_exceptions.ConsensusError as error:
            raise states.to_remote_error(error) from error
        return member_messages.MemberChanged(index)

    return {
        member_messages.ReadMembers: read_members,
        member_messages.ChangeMember: change_member,
    }


def _find(state: states.ControlState, group: str) -> replica.Replica:
    found = state.replicas.get(group)
    if found is None:
        known = ", ".join(state.replicas)
        raise transport_exceptions.RemoteError(
            "bad_request", f"no group {group!r}; known: {known}"
        )
    return found


async def _change(
    to: replica.Replica, message: member_messages.ChangeMember
) -> int:
    match message.action:
        case "repair":
            return await to.repair_member(message.name)
        case "add":
            return await _add(to, message.name)
        case "promote":
            return await to.promote_member(message.name)
        case "remove":
            change = membership.Remove(_member(to.status(), message.name))
        case _:
            raise transport_exceptions.RemoteError(
                "bad_request", f"no action {message.action!r}"
            )
    return await to.change_membership(change)


async def _add(to: replica.Replica, name: str) -> int:
    """Adds a learner; one that was added and answers is added already.

    A learner of this name that does not answer is replaced, since a replica
    may lose its disk again before it was promoted.
    """
    status = to.status()
    silent = ""
    for entry in status.members:
        if entry.member.name != name or entry.member.voter:
            continue
        if entry.active:
            return status.commit_index
        silent = entry.member.id
    for joining in status.joining:
        if joining.name != name:
            continue
        made = (name, joining.incarnation, joining.address)
        if silent:
            return await to.change_membership(membership.Replace(silent, *made))
        return await to.change_membership(membership.AddLearner(*made))
    raise consensus_exceptions.MembershipError(
        f"{name} has not made itself known; start it with these founders"
    )


def _member(status: replica.ReplicaStatus, name: str) -> str:
    for entry in status.members:
        if entry.member.name == name:
            return entry.member.id
    raise consensus_exceptions.NotMemberError(f"{name} is no member")


def describe(group: str, of: replica.Replica) -> member_messages.Members:
    """Returns one process's view of a group."""
    status = of.status()
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
      claims: Claims that are kept.
      fences: Last fencing number by target.
      children: Names of the children in the delivery tree.
      beacon: Last beacon of the leader.
      groups: View of each replicated group.
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
        [describe(name, found) for name, found in state.replicas.items()],
    )


def dump(state: states.ControlState) -> str:
    """Returns the state of this process as JSON."""
    return json.dumps(attrs.asdict(describe_process(state)), indent=2)
