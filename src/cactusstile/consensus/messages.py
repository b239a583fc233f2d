"""Messages between the replicas of one group.

Each message names the group, its sender and its recipient by name and
incarnation. A replica drops what is not addressed to its own incarnation.
"""

from __future__ import annotations

import enum

import attrs

from cactusstile.transport import codec

_schema = codec.load_schema(__file__, "consensus.capnp")


class EntryKind(enum.IntEnum):
    """What a log entry holds."""

    COMMAND = 0
    NOOP = 1
    CONFIGURATION = 2


@codec.register(0, _schema, "Entry")
@attrs.frozen
class Entry:
    """One entry of the replicated log.

    Attributes:
      index: Position in the log, from 1.
      term: Term of the leader that appended it.
      kind: An `EntryKind`.
      data: The command, or the encoded configuration.
    """

    index: int
    term: int
    kind: int
    data: bytes


@codec.register(300, _schema, "VoteRequest")
@attrs.frozen
class VoteRequest:
    """Asks for a vote, or in a pre-vote whether a vote would be given.

    Attributes:
      group: Identity of the replica group.
      source: Member that sends.
      target: Member that is meant.
      term: Term of the candidacy.
      last_index: Index of the candidate's last entry.
      last_term: Term of the candidate's last entry.
      pre_vote: Whether nothing is to be changed by the recipient.
      transfer: Whether the leader itself asked for this candidacy.
    """

    group: str
    source: str
    target: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@codec.register(301, _schema, "VoteReply")
@attrs.frozen
class VoteReply:
    """Answers a `VoteRequest`."""

    group: str
    source: str
    target: str
    term: int
    granted: bool
    pre_vote: bool


@codec.register(302, _schema, "AppendRequest")
@attrs.frozen
class AppendRequest:
    """Carries consecutive entries after `previous_index`."""

    group: str
    source: str
    target: str
    term: int
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[Entry, ...]


@codec.register(303, _schema, "AppendReply")
@attrs.frozen
class AppendReply:
    """Answers an `AppendRequest` once the entries are synced.

    Attributes:
      group: Identity of the replica group.
      source: Member that sends.
      target: Member that is meant.
      term: Term of the sender.
      accepted: Whether the previous entry matched.
      match_index: Last index that equals the leader's log, if accepted;
        otherwise the index that the leader should try as previous.
    """

    group: str
    source: str
    target: str
    term: int
    accepted: bool
    match_index: int


@codec.register(304, _schema, "Heartbeat")
@attrs.frozen
class Heartbeat:
    """Renews the leader's claim; its reply extends lease and reads.

    Attributes:
      group: Identity of the replica group.
      source: Member that sends.
      target: Member that is meant.
      term: Term of the leader.
      commit_index: Last committed index that the recipient surely holds.
      round: Number of the heartbeat within the term.
      sent_at: Seconds on the leader's monotonic clock; echoed unread.
    """

    group: str
    source: str
    target: str
    term: int
    commit_index: int
    round: int
    sent_at: float


@codec.register(305, _schema, "HeartbeatReply")
@attrs.frozen
class HeartbeatReply:
    """Echoes a `Heartbeat`."""

    group: str
    source: str
    target: str
    term: int
    round: int
    sent_at: float


@codec.register(306, _schema, "SnapshotChunk")
@attrs.frozen
class SnapshotChunk:
    """Carries a part of the leader's snapshot.

    Attributes:
      group: Identity of the replica group.
      source: Member that sends.
      target: Member that is meant.
      term: Term of the leader.
      index: Last log index that the snapshot covers.
      index_term: Term of that entry.
      configuration: Encoded members as of that index.
      offset: Position of `data` in the snapshot, in bytes.
      total: Size of the snapshot, in bytes.
      data: The part.
    """

    group: str
    source: str
    target: str
    term: int
    index: int
    index_term: int
    configuration: bytes
    offset: int
    total: int
    data: bytes


@codec.register(307, _schema, "SnapshotReply")
@attrs.frozen
class SnapshotReply:
    """Asks for the part of a snapshot that starts at `next_offset`."""

    group: str
    source: str
    target: str
    term: int
    index: int
    next_offset: int


@codec.register(308, _schema, "CampaignNow")
@attrs.frozen
class CampaignNow:
    """Tells a follower with a full log to take over leadership at once."""

    group: str
    source: str
    target: str
    term: int


@codec.register(309, _schema, "Hello")
@attrs.frozen
class Hello:
    """Makes a replica known to the others.

    Attributes:
      group: Identity of the group that it belongs to; empty if none.
      name: Name of the replica.
      incarnation: Incarnation of the replica.
      address: Address of the replica.
    """

    group: str
    name: str
    incarnation: int
    address: str


GroupMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | Heartbeat
    | HeartbeatReply
    | SnapshotChunk
    | SnapshotReply
    | CampaignNow
)
Message = GroupMessage | Hello
