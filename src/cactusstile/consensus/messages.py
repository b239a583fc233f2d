"""Messages between the replicas of one group.

Each message but `Hello` carries the group, and its sender and recipient as
member identities (name and incarnation). A replica drops messages that are not
addressed to its own incarnation.
"""

from __future__ import annotations

import enum

import attrs

from cactusstile.transport import codec

_schema = codec.load_schema(__file__, "consensus.capnp")


class EntryKind(enum.IntEnum):
    """Kind of the data of a log entry."""

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
    """Requests a vote, or in a pre-vote asks if a vote would be granted.

    Attributes:
      group: Identity of the replica group.
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the election.
      last_index: Index of the candidate's last entry.
      last_term: Term of the candidate's last entry.
      pre_vote: Whether the recipient must not change its state.
      transfer: Whether the leader itself requested this election.
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
    """Answers a `VoteRequest`.

    Attributes:
      group: Identity of the replica group.
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the election if granted; otherwise term of the sender.
      granted: Whether the vote or pre-vote was granted.
      pre_vote: Whether this answers a pre-vote.
    """

    group: str
    source: str
    target: str
    term: int
    granted: bool
    pre_vote: bool


@codec.register(302, _schema, "AppendRequest")
@attrs.frozen
class AppendRequest:
    """Carries consecutive log entries.

    Attributes:
      group: Identity of the replica group.
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the leader.
      previous_index: Index of the entry before the first of `entries`.
      previous_term: Term of that entry.
      commit_index: Last index that the leader has committed.
      entries: The entries, in order.
    """

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
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the sender.
      accepted: Whether the previous entry matched.
      match_index: If accepted, the last index up to which the log equals the
        leader's; otherwise the next index to try as `previous_index`.
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
    """Keeps the leader in office; replies extend its lease, confirm reads.

    Attributes:
      group: Identity of the replica group.
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the leader.
      commit_index: Last committed index that the recipient is known to have
        synced.
      round: Number of the heartbeat round within the term.
      sent_at: Seconds on the leader's monotonic clock; the recipient echoes
        it without interpreting it.
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
    """Answers a `Heartbeat` and echoes its `round` and `sent_at`.

    It also reports the current term to a leader of an earlier term, then with
    a `round` of -1.
    """

    group: str
    source: str
    target: str
    term: int
    round: int
    sent_at: float


@codec.register(306, _schema, "SnapshotChunk")
@attrs.frozen
class SnapshotChunk:
    """Carries a chunk of the leader's snapshot.

    Attributes:
      group: Identity of the replica group.
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the leader.
      index: Last log index that the snapshot covers.
      index_term: Term of that entry.
      configuration: Encoded members as of that index.
      offset: Position of `data` in the snapshot, in bytes.
      total: Size of the snapshot, in bytes.
      data: Content of the chunk.
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
    """Requests the snapshot chunk that starts at `next_offset`.

    Attributes:
      group: Identity of the replica group.
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the sender.
      index: Last log index that the requested snapshot covers.
      next_offset: Position of the chunk in the snapshot, in bytes.
    """

    group: str
    source: str
    target: str
    term: int
    index: int
    next_offset: int


@codec.register(308, _schema, "CampaignNow")
@attrs.frozen
class CampaignNow:
    """Requests that a follower with a complete log start an election now.

    Attributes:
      group: Identity of the replica group.
      source: Identity of the sender.
      target: Identity of the recipient.
      term: Term of the leader.
    """

    group: str
    source: str
    target: str
    term: int


@codec.register(309, _schema, "Hello")
@attrs.frozen
class Hello:
    """Announces a replica to the others.

    Attributes:
      group: Identity of the group that it belongs to; empty if it has not
        joined one.
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
