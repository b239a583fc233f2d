"""Messages between the members of the replica groups and about them."""

from __future__ import annotations

import attrs

from cactusstile.control import messages
from cactusstile.transport import codec


@codec.register(240, messages.SCHEMA, "GroupEnvelope")
@attrs.frozen
class GroupEnvelope:
    """Carries a message of one replica group between control VMs.

    Attributes:
      group: Name of the group.
      sender: Address of the sending replica.
      number: Type number of the message.
      payload: The encoded message.
    """

    group: str
    sender: str
    number: int
    payload: bytes


@codec.register(241, messages.SCHEMA, "ReadMembers")
@attrs.frozen
class ReadMembers:
    """Reads the view of a group from a control VM; the reply is `Members`."""

    group: str


@codec.register(242, messages.SCHEMA, "MemberState")
@attrs.frozen
class MemberState:
    """A member, or a replica that has announced itself but is not a member.

    Attributes:
      name: Name of the replica.
      incarnation: Number that identifies the replica's data folder.
      address: Address of the replica.
      voter: Whether the replica counts in quorums.
      synced_index: Last log index that the replica has synced, as reported to
        the leader; 0 from other control VMs.
      active: Whether the leader received a message from the replica within an
        election timeout.
      joining: Whether the replica is not a member yet.
    """

    name: str
    incarnation: int
    address: str
    voter: bool
    synced_index: int = 0
    active: bool = False
    joining: bool = False


@codec.register(243, messages.SCHEMA, "Members")
@attrs.frozen
class Members:
    """View of a group from one control VM.

    Attributes:
      group: Name of the group.
      leader: Address of the leader; empty if there is none.
      term: Current term.
      commit_index: Last log index that is committed.
      members: Members, and replicas that have announced themselves.
    """

    group: str
    leader: str
    term: int
    commit_index: int
    members: tuple[MemberState, ...]


@codec.register(244, messages.SCHEMA, "ChangeMember")
@attrs.frozen
class ChangeMember:
    """Changes the membership of a group; the reply is `MemberChanged`.

    Attributes:
      group: Name of the group.
      action: "repair", "add", "promote" or "remove".
      name: Name of the replica.
    """

    group: str
    action: str
    name: str


@codec.register(245, messages.SCHEMA, "MemberChanged")
@attrs.frozen
class MemberChanged:
    """Log index at which a membership change was committed."""

    index: int
