"""Messages about the members of the replica groups, and between them."""

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
    """Asks a control VM for its view of a group; ends with `Members`."""

    group: str


@codec.register(242, messages.SCHEMA, "MemberState")
@attrs.frozen
class MemberState:
    """One member, or a replica that waits to become one.

    Attributes:
      name: Name of the replica.
      incarnation: Number of its data folder.
      address: Its address.
      voter: Whether it counts in quorums.
      synced_index: Last index that it synced, as the leader knows.
      active: Whether the leader heard from it lately.
      joining: Whether it is no member yet.
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
    """View of a group from one control VM."""

    group: str
    leader: str
    term: int
    commit_index: int
    members: tuple[MemberState, ...]


@codec.register(244, messages.SCHEMA, "ChangeMember")
@attrs.frozen
class ChangeMember:
    """Asks the leader for a membership change; ends with `MemberChanged`.

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
