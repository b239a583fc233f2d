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

MAX_KNOWN_ADDRESSES = 64


class Role(enum.Enum):
    """Role of a replica within a term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@attrs.frozen
class CoreSettings:
    """Times and bounds of the core.

    Attributes:
      heartbeat_interval_s: Time between heartbeats of a leader.
      election_timeout_s: Least time without a leader before a candidacy; the
        time used is random, up to twice as long.
      max_clock_drift: Bound of the relative rate error of any clock.
      max_append_bytes: Bound of the entries in one message.
      max_inflight_appends: Bound of unanswered messages to one member.
      max_snapshot_bytes: Bound of a snapshot that is received.
    """

    heartbeat_interval_s: float = 0.1
    election_timeout_s: float = 0.6
    max_clock_drift: float = 0.02
    max_append_bytes: int = 256 << 10
    max_inflight_appends: int = 16
    max_snapshot_bytes: int = 1 << 30

    @property
    def lease_s(self) -> float:
        """Time that a lease lasts on the leader's clock."""
        drift = self.max_clock_drift
        return self.election_timeout_s * (1 - drift) / (1 + drift)


@attrs.define
class Progress:
    """What a leader knows of one other member.

    Attributes:
      next_index: Next entry to send.
      match_index: Last entry that the member has synced.
      probing: Whether the leader waits for an answer before sending more.
      inflight: Last indexes of unanswered messages.
      moved_at: Time of the last progress or retry.
      acked_round: Last heartbeat round that it answered.
      acked_sent_at: Time at which that heartbeat was sent.
      snapshot_offset: Position of the snapshot part under way; None if none.
    """

    next_index: int
    match_index: int = 0
    probing: bool = True
    inflight: collections.deque[int] = attrs.field(factory=collections.deque)
    moved_at: float = 0.0
    acked_round: int = -1
    acked_sent_at: float = float("-inf")
    snapshot_offset: int | None = None


@attrs.frozen
class PendingRead:
    """A read that waits for a quorum to answer a heartbeat round."""

    read_id: int
    index: int
    round: int


@attrs.define
class LeaderState:
    """What only a leader keeps; made anew in each term.

    Attributes:
      since: Time at which the term was won.
      first_index: Index of the first entry of the term.
      progress: What is known of each other member.
      round: Number of the last heartbeat round.
      next_heartbeat_at: Time of the next heartbeat.
      reads: Reads that wait, oldest first.
      transfer_target: Member that is to take over; empty if none.
      transfer_deadline: Time at which the transfer is given up.
      lease_revoked: Whether a candidacy was allowed despite the lease; a
        delayed `CampaignNow` may use that until the term ends.
    """

    since: float
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
    """Parts of a snapshot received so far."""

    index: int
    term: int
    data: bytearray = attrs.field(factory=bytearray)


@attrs.define
class State:
    """State of one replica.

    Attributes:
      member_id: Identity of this replica.
      settings: Times and bounds.
      random: Source of the spread of election timeouts.
      group: Identity of the group; empty before the replica joined one.
      term: Present term.
      vote: Member that got the vote in this term; empty if none.
      log: Entries after the last compaction.
      configurations: Log index and members of each configuration that is
        still held, oldest first; the last one is in force.
      snapshot_index: Last index that the durable snapshot covers.
      commit_index: Last index that is known to be committed.
      synced_index: Last index that is synced here.
      role: Role in the present term.
      leader: Member that leads the present term; empty if unknown.
      now: Time of the last event.
      leader_contact_at: Time of the last word from a leader, or of the start:
        what was promised to a leader before a restart must hold after it.
      election_at: Time at which a candidacy starts.
      campaigns: Elections that this replica has stood for.
      votes: Members that granted the present candidacy.
      retry_votes_at: Time at which missing votes are asked for again.
      leading: State of a leader; None in other roles.
      incoming: Snapshot that is being received.
      addresses: Addresses that messages came from, by member.
      metadata_dirty: Whether term or vote are not known to be synced.
      effects: Effects of the present event.
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
    votes: set[str] = attrs.field(factory=set)
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
        """Returns the members as of a log index that is still held."""
        found = self.configurations[0][1]
        for at, configuration in self.configurations:
            if at > index:
                break
            found = configuration
        return found

    def address_of(self, identity: str) -> str:
        """Returns the address of a member; empty if unknown."""
        member = self.configuration.find(identity)
        if member is not None:
            return member.address
        return self.addresses.get(identity, "")

    def others(self) -> list[str]:
        """Returns the identities of all other members."""
        members = self.configuration.members
        return [one.id for one in members if one.id != self.member_id]

    def send(
        self, message: messages.GroupMessage, *, after_sync: bool = False
    ) -> None:
        """Adds the effect that sends a message to its target."""
        address = self.address_of(message.target)
        if not address:
            return
        self.effects.append(effects.Send(address, message, after_sync))

    def save_metadata(self) -> None:
        """Adds the effect that makes term and vote durable."""
        self.metadata_dirty = True
        self.effects.append(
            effects.SaveMetadata(self.group, self.term, self.vote)
        )

    def reset_election_timer(self) -> None:
        """Starts the time without a leader anew."""
        timeout = self.settings.election_timeout_s
        self.election_at = self.now + timeout * (1 + self.random.random())
