"""Effects that the consensus core requests from its driver, in order."""

from __future__ import annotations

import attrs

from cactusstile.consensus import messages


@attrs.frozen
class SaveMetadata:
    """Replaces the durable group, term and vote.

    Attributes:
      group: Identity of the group; empty before the replica joined one.
      term: Current term.
      vote: Member that got the vote in this term; empty if no vote was cast.
    """

    group: str
    term: int
    vote: str


@attrs.frozen
class AppendEntries:
    """Appends entries to the durable log, truncated before the first one."""

    entries: list[messages.Entry]


@attrs.frozen
class InstallSnapshot:
    """Replaces the durable snapshot, the log and the applied state.

    Attributes:
      index: Last log index that the snapshot covers.
      term: Term of that entry.
      configuration: Encoded members as of that index.
      data: State of the state machine as of that index.
    """

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
      after_sync: Whether the message must wait until all preceding writes are
        synced.
    """

    address: str
    message: messages.GroupMessage
    after_sync: bool


@attrs.frozen
class SendSnapshotChunk:
    """Sends the snapshot chunk at a byte offset to a member.

    Attributes:
      address: Address of the member.
      member_id: Identity of the member.
      term: Term of the leader.
      offset: Position of the chunk in the snapshot, in bytes.
    """

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
    """Completes the read `read_id` once `index` is applied."""

    read_id: int
    index: int


@attrs.frozen
class LeadershipLost:
    """Fails all proposals and reads that wait on this replica."""


Write = SaveMetadata | AppendEntries | InstallSnapshot
Effect = (
    Write | Send | SendSnapshotChunk | Apply | ReadConfirmed | LeadershipLost
)
