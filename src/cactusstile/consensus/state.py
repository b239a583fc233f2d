"""State of the consensus core."""

from __future__ import annotations

import collections
import enum
import random

import attrs

from cactusstile.consensus import effects
from cactusstile.consensus import log
from cactusstile.consensus import membership
from cactusstile.consensus import messages

MAX_PEER_ADDRESSES = 64


class Role(enum.Enum):
    """Role of a replica within a term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class CoreSettings:
    """Times and limits of the consensus core.

    Attributes:
      heartbeat_interval_s: Interval between heartbeats of a leader.
      election_timeout_s: Minimum time without a leader before an election; the
        actual timeout is random, up to twice as long.
      max_clock_drift: Maximum relative rate error of any clock.
      max_append_bytes: Maximum total size of the entries in one message.
      max_inflight_appends: Maximum number of unanswered append requests per
        member.
      max_snapshot_bytes: Maximum size of a received snapshot.
    """

    heartbeat_interval_s: float = 0.1
    election_timeout_s: float = 0.6
    max_clock_drift: float = 0.02
    max_append_bytes: int = 256 << 10
    max_inflight_appends: int = 16
    max_snapshot_bytes: int = 1 << 30

    @property
    def lease_s(self) -> float:
        """Duration of a lease on the leader's clock."""
        drift = self.max_clock_drift
        return self.election_timeout_s * (1 - drift) / (1 + drift)


@attrs.define
class Progress:
    """Replication progress of one other member, as seen by the leader.

    Attributes:
      next_index: Index of the next entry to send.
      match_index: Index of the last entry that the member has synced.
      probing: Whether only one append request may be in flight, as the
        position where the logs match is uncertain.
      inflight: Last entry index of each unanswered append request.
      last_progress_at: Time of the last progress or retry.
      acked_round: Last heartbeat round that the member answered.
      acked_sent_at: Time at which that heartbeat was sent.
      snapshot_offset: Offset of the snapshot chunk in flight, in bytes; None
        if no snapshot is being sent.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    inflight: collections.deque[int] = attrs.field(factory=collections.deque)
    last_progress_at: float = 0.0
    acked_round: int = -1
    acked_sent_at: float = float("-inf")
    snapshot_offset: int | None = None


@attrs.frozen
class PendingRead:
    """A read that waits until a quorum has answered a heartbeat round.

    Attributes:
      read_id: Number of the read.
      index: Log index that must be applied before the read.
      round: Heartbeat round that a quorum must answer.
    """

    read_id: int
    index: int
    round: int


@attrs.define
class LeaderState:
    """State of a leader; created anew for each term.

    Attributes:
      since: Time at which the election was won.
      votes_asked_at: Time at which the votes were asked for: voters may have
        elected another leader since then.
      first_index: Index of the first entry of the term.
      progress: Replication progress of each other member, by identity.
      round: Number of the last heartbeat round.
      next_heartbeat_at: Time of the next heartbeat.
      reads: Pending reads, oldest first.
      transfer_target: Member that leadership is being transferred to; empty
        if no transfer is in progress.
      transfer_deadline: Time at which the transfer is abandoned.
      lease_revoked: Whether an election was allowed despite the lease. Stays
        set until the term ends, since a `CampaignNow` may arrive late.
    """

    since: float
    votes_asked_at: float
    first_index: int
    progress: dict[str, Progress] = attrs.field(factory=dict)
    round: int = 0
    next_heartbeat_at: float = 0.0
    reads: collections.deque[PendingRead] = attrs.field(
        factory=collections.deque
    )
    transfer_target: str = ""
    transfer_deadline: float = 0.0
    lease_revoked: bool = False


@attrs.define
class IncomingSnapshot:
    """A snapshot that is being received.

    Attributes:
      index: Last log index that the snapshot covers.
      term: Term of that entry.
      data: Bytes received so far.
    """

    index: int
    term: int
    data: bytearray = attrs.field(factory=bytearray)


@attrs.define
class State:
    """State of one replica.

    Attributes:
      member_id: Identity of this replica.
      settings: Times and limits.
      random: Random number generator for election timeouts.
      group: Identity of the group; empty before the replica joined one.
      term: Current term.
      vote: Member that got the vote in this term; empty if no vote was cast.
      log: Entries after the last compaction.
      configurations: Log index and members of each configuration since the
        log's base, oldest first; the last one is in force.
      snapshot_index: Last log index that the durable snapshot covers.
      commit_index: Last log index known to be committed.
      synced_index: Last log index that is synced on this replica.
      role: Role in the current term.
      leader: Leader of the current term; empty if unknown.
      now: Time of the last event.
      leader_contact_at: Time of the last message from a leader, or of the
        start: a replica that restarts still refuses votes for an election
        timeout, as a lease from before the restart may depend on it.
      election_at: Time at which an election starts.
      campaigns: Number of elections that this replica has started.
      campaign_at: Time at which the last of them was started.
      votes: Members that granted this replica their vote in the current term;
        empty unless it has started an election in it that is still open.
      pre_votes: Members that granted the last pre-vote.
      retry_votes_at: Time at which missing votes are requested again.
      leading: State of the leader; None in other roles.
      incoming: Snapshot that is being received; None if there is none.
      addresses: Addresses that messages were received from, by member.
      metadata_dirty: Whether group, term or vote may not be synced yet.
      effects: Effects of the current event.
    """

    member_id: str
    settings: CoreSettings
    random: random.Random
    group: str
    term: int
    vote: str
    log: log.Log
    configurations: list[tuple[int, membership.Configuration]]
    snapshot_index: int
    commit_index: int
    synced_index: int
    now: float
    leader_contact_at: float
    election_at: float
    role: Role = Role.FOLLOWER
    leader: str = ""
    campaigns: int = 0
    campaign_at: float = float("-inf")
    votes: set[str] = attrs.field(factory=set)
    pre_votes: set[str] = attrs.field(factory=set)
    retry_votes_at: float = 0.0
    leading: LeaderState | None = None
    incoming: IncomingSnapshot | None = None
    addresses: dict[str, str] = attrs.field(factory=dict)
    metadata_dirty: bool = False
    effects: list[effects.Effect] = attrs.field(factory=list)

    @property
    def configuration(self) -> membership.Configuration:
        """Members as of the last configuration in the log."""
        return self.configurations[-1][1]

    @property
    def configuration_index(self) -> int:
        """Log index of the configuration in force."""
        return self.configurations[-1][0]

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts in quorums."""
        return self.member_id in self.configuration.voter_ids

    def configuration_at(self, index: int) -> membership.Configuration:
        """Returns the members as of a log index not before the log's base."""
        latest = self.configurations[0][1]
        for entry_index, configuration in self.configurations:
            if entry_index > index:
                break
            latest = configuration
        return latest

    def address_of(self, identity: str) -> str:
        """Returns the address of a member or sender; empty if unknown."""
        member = self.configuration.find(identity)
        if member is not None:
            return member.address
        return self.addresses.get(identity, "")

    def peer_ids(self) -> list[str]:
        """Returns the identities of all other members."""
        members = self.configuration.members
        return [member.id for member in members if member.id != self.member_id]

    def send(
        self, message: messages.GroupMessage, *, after_sync: bool = False
    ) -> None:
        """Adds the effect that sends a message to its recipient."""
        address = self.address_of(message.target)
        if not address:
            return
        self.effects.append(effects.Send(address, message, after_sync))

    def save_metadata(self) -> None:
        """Adds the effect that makes group, term and vote durable."""
        self.metadata_dirty = True
        self.effects.append(
            effects.SaveMetadata(self.group, self.term, self.vote)
        )

    def reset_election_timer(self) -> None:
        """Restarts the randomized election timeout."""
        timeout = self.settings.election_timeout_s
        self.election_at = self.now + timeout * (1 + self.random.random())
