"""What the consensus core asks its driver to do, in order."""

from __future__ import annotations

import attrs

from cactusstile.consensus import messages


@attrs.frozen
class SaveMetadata:
    """Replaces the durable term and vote.

    Attributes:
      group: Identity of the group; empty before the replica joined one.
      term: Present term.
      vote: Member that got the vote in this term; empty if none.
    """

    group: str
    term: int
    vote: str


@attrs.frozen
class AppendEntries:
    """Appends entries to the durable log; the first one truncates it."""

    entries: list[messages.Entry]


@attrs.frozen
class InstallSnapshot:
    """Replaces the durable snapshot, the log and the applied state."""

    index: int
    term: int
    configuration: bytes
    data: bytes


@attrs.frozen
class Send:
    """Sends a message.

    Attributes:
      address: Address of the recipient.
      message: The message.
      after_sync: Whether all earlier writes must be synced before.
    """

    address: str
    message: messages.GroupMessage
    after_sync: bool


@attrs.frozen
class SendChunk:
    """Sends the part of the snapshot at `offset` to a member."""

    address: str
    member_id: str
    term: int
    offset: int


@attrs.frozen
class Apply:
    """Applies committed entries to the state machine."""

    entries: list[messages.Entry]


@attrs.frozen
class ReadConfirmed:
    """Lets a read go on once `index` is applied."""

    read_id: int
    index: int


@attrs.frozen
class LeadershipLost:
    """Ends all proposals and reads that wait on this replica."""


Write = SaveMetadata | AppendEntries | InstallSnapshot
Effect = Write | Send | SendChunk | Apply | ReadConfirmed | LeadershipLost
