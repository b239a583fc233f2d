"""Members of a replica group, and membership changes.

A member is identified by a name and an incarnation. The incarnation is a
random number generated when a data folder is created, so a replica that lost
its disk is a new member: it cannot vote in place of the old one, whose votes
and log are lost.
"""

from __future__ import annotations

import functools
import json

import attrs

from cactusstile.consensus import exceptions

MAX_MEMBERS = 15


@attrs.frozen
class Member:
    """One replica of the group.

    Attributes:
      name: Name of the replica; the same after the loss of its disk.
      incarnation: Random number of its data folder.
      address: Address that messages to the member are sent to.
      voter: Whether the member counts in quorums; a learner does not.
    """

    name: str
    incarnation: int
    address: str
    voter: bool = True

    @functools.cached_property
    def id(self) -> str:
        """Identity, made of name and incarnation; never reused."""
        return member_id(self.name, self.incarnation)


def member_id(name: str, incarnation: int) -> str:
    """Returns the identity of one incarnation of a replica.

    >>> member_id("control-1", 255)
    'control-1.00000000000000ff'
    """
    return f"{name}.{incarnation:016x}"


@attrs.frozen
class Configuration:
    """The members of the group as of one log entry."""

    members: tuple[Member, ...] = ()

    @functools.cached_property
    def by_id(self) -> dict[str, Member]:
        """All members by identity."""
        return {member.id: member for member in self.members}

    @functools.cached_property
    def voter_ids(self) -> tuple[str, ...]:
        """Identities of all voters."""
        return tuple(member.id for member in self.members if member.voter)

    def find(self, identity: str) -> Member | None:
        """Returns the member with this identity; None if there is none."""
        return self.by_id.get(identity)

    def quorum(self) -> int:
        """Returns the number of voters that form a majority."""
        return len(self.voter_ids) // 2 + 1


@attrs.frozen
class AddLearner:
    """Adds a learner: a replica that receives the log but does not vote."""

    name: str
    incarnation: int
    address: str


@attrs.frozen
class Promote:
    """Makes a learner that holds all committed entries a voter."""

    member_id: str


@attrs.frozen
class Remove:
    """Removes a member other than the leader."""

    member_id: str


@attrs.frozen
class Replace:
    """Removes a lost incarnation and adds the new one as a learner."""

    lost_member_id: str
    name: str
    incarnation: int
    address: str


Change = AddLearner | Promote | Remove | Replace


def apply_change(configuration: Configuration, change: Change) -> Configuration:
    """Returns `configuration` after one change.

    Every change adds or removes at most one voter, so that every majority of
    the old configuration overlaps every majority of the new one.

    Raises:
      MembershipError: The change does not fit the current members.
    """
    members = list(configuration.members)
    if isinstance(change, Remove):
        members.remove(_get_member(configuration, change.member_id))
    elif isinstance(change, Promote):
        member = _get_member(configuration, change.member_id)
        if member.voter:
            raise exceptions.MembershipError(f"{member.id} is already a voter")
        position = members.index(member)
        members[position] = attrs.evolve(member, voter=True)
    else:
        if isinstance(change, Replace):
            members.remove(_get_member(configuration, change.lost_member_id))
        members.append(_new_learner(members, change))
    changed = Configuration(tuple(members))
    if not changed.voter_ids:
        raise exceptions.MembershipError("the last voter cannot be removed")
    return changed


def _get_member(configuration: Configuration, identity: str) -> Member:
    """Returns the member with this identity.

    Raises:
      MembershipError: There is no such member.
    """
    member = configuration.find(identity)
    if member is None:
        member_ids = ", ".join(each.id for each in configuration.members)
        raise exceptions.MembershipError(
            f"{identity} is not a member; members are {member_ids}"
        )
    return member


def _new_learner(members: list[Member], change: AddLearner | Replace) -> Member:
    """Returns the learner that a change adds.

    Raises:
      MembershipError: The group is full, or the name is already in use.
    """
    if len(members) >= MAX_MEMBERS:
        raise exceptions.MembershipError(
            f"a group has at most {MAX_MEMBERS} members; remove one first"
        )
    for member in members:
        if member.name == change.name:
            raise exceptions.MembershipError(
                f"{member.id} already has this name; replace or remove it first"
            )
    return Member(change.name, change.incarnation, change.address, voter=False)


def encode(configuration: Configuration) -> bytes:
    """Returns a configuration encoded as the data of a log entry."""
    members = [attrs.astuple(member) for member in configuration.members]
    return json.dumps(members).encode()


def decode(data: bytes) -> Configuration:
    """Returns the configuration encoded by `encode`.

    >>> configuration = Configuration((Member("a", 1, "127.0.0.1:1"),))
    >>> decode(encode(configuration)) == configuration
    True
    """
    members = [Member(*fields) for fields in json.loads(data)]
    return Configuration(tuple(members))
