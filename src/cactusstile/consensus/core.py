"""Consensus core: a Raft variant that performs no I/O.

Each function accepts the state, one event and the monotonic time, updates the
state and returns the effects that the driver has to execute in order: writes
are made durable in order, a `Send` with `after_sync` is sent only after all
preceding writes are synced, and the driver reports completed syncs by calling
`synced`.
"""

from __future__ import annotations

import random

import attrs

from cactusstile.consensus import effects
from cactusstile.consensus import elections
from cactusstile.consensus import exceptions
from cactusstile.consensus import follower
from cactusstile.consensus import leadership
from cactusstile.consensus import log
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import replication
from cactusstile.consensus import state as states


@attrs.frozen
class RecoveredState:
    """Durable state that a replica starts from.

    Attributes:
      group: Identity of the group; empty if the replica has not joined one.
      term: Last term that was saved.
      vote: Member that got the vote in that term; empty if no vote was cast.
      snapshot_index: Last log index that the snapshot covers.
      snapshot_term: Term of the entry at `snapshot_index`.
      configuration: Members as of `snapshot_index`.
      entries: Log entries after `snapshot_index`.
    """

    group: str = ""
    term: int = 0
    vote: str = ""
    snapshot_index: int = 0
    snapshot_term: int = 0
    configuration: membership.Configuration = attrs.field(
        factory=membership.Configuration
    )
    entries: tuple[messages.Entry, ...] = ()


def start(
    member_id: str,
    recovered: RecoveredState,
    now: float,
    *,
    settings: states.CoreSettings,
    seed: int,
) -> states.State:
    """Returns the state of a replica that starts as a follower."""
    entries = list(recovered.entries)
    configurations = [(recovered.snapshot_index, recovered.configuration)]
    for entry in entries:
        if entry.kind != messages.EntryKind.CONFIGURATION:
            continue
        configurations.append((entry.index, membership.decode(entry.data)))
    recovered_log = log.Log(
        recovered.snapshot_index, recovered.snapshot_term, entries
    )
    state = states.State(
        member_id=member_id,
        settings=settings,
        random=random.Random(seed),
        group=recovered.group,
        term=recovered.term,
        vote=recovered.vote,
        log=recovered_log,
        configurations=configurations,
        snapshot_index=recovered.snapshot_index,
        commit_index=recovered.snapshot_index,
        synced_index=recovered_log.last_index,
        now=now,
        leader_contact_at=now,
        election_at=now,
    )
    state.reset_election_timer()
    return state


def tick(state: states.State, now: float) -> list[effects.Effect]:
    """Sends due heartbeats, retries and vote requests; checks timeouts."""
    _advance_clock(state, now)
    if state.leading is None:
        # An election needs the sync that is under way; a second one would not
        # be faster, and would void a vote that waits for it.
        if now >= state.election_at and not state.metadata_dirty:
            elections.start_pre_vote(state)
        elif now >= state.retry_votes_at:
            elections.retry_vote_requests(state)
        return _take_effects(state)
    if now >= state.leading.next_heartbeat_at:
        leadership.broadcast_heartbeat(state)
        replication.retry_stalled(state)
    return _take_effects(state)


def _advance_clock(state: states.State, now: float) -> None:
    """Sets the time; a leader that has lost its quorum steps down."""
    state.now = max(state.now, now)
    leading = state.leading
    if leading is None:
        return
    if leadership.has_lost_quorum(state):
        elections.become_follower(state, state.term, "")
        return
    if leading.transfer_target and now >= leading.transfer_deadline:
        leading.transfer_target = ""


def _take_effects(state: states.State) -> list[effects.Effect]:
    """Returns and clears the effects of the current event."""
    taken = state.effects
    state.effects = []
    return taken


def propose(
    state: states.State, commands: list[bytes], now: float
) -> tuple[int, list[effects.Effect]]:
    """Appends commands to the leader's log.

    Returns:
      Log index of the first command, and the effects. Index 0 means that this
      replica does not serve; nothing was proposed.
    """
    _advance_clock(state, now)
    if not leadership.serves(state):
        return 0, _take_effects(state)
    kind = messages.EntryKind.COMMAND
    payloads = [(int(kind), command) for command in commands]
    first = replication.append_as_leader(state, payloads)
    return first, _take_effects(state)


def change_membership(
    state: states.State, change: membership.Change, now: float
) -> tuple[int, list[effects.Effect]]:
    """Appends a membership change to the leader's log.

    Returns:
      Log index of the change, and the effects. Index 0 means that this
      replica does not serve; nothing was proposed.

    Raises:
      MembershipError: The change is unsafe at present or does not fit the
        current members.
    """
    _advance_clock(state, now)
    if not leadership.serves(state):
        return 0, _take_effects(state)
    _check_change(state, change)
    configuration = membership.apply_change(state.configuration, change)
    data = membership.encode(configuration)
    kind = int(messages.EntryKind.CONFIGURATION)
    index = replication.append_as_leader(state, [(kind, data)])
    return index, _take_effects(state)


def _check_change(state: states.State, change: membership.Change) -> None:
    """Checks that a membership change is safe at present.

    Raises:
      MembershipError: It is unsafe; the text says what to do.
    """
    leading = state.leading
    assert leading is not None  # noqa: S101
    if state.configuration_index > state.commit_index:
        raise exceptions.MembershipError(
            "another membership change is not committed yet; retry later"
        )
    if state.commit_index < leading.first_index:
        raise exceptions.MembershipError(
            "the leader has not committed an entry of its term; retry later"
        )
    leaving = ""
    if isinstance(change, membership.Remove):
        leaving = change.member_id
    if isinstance(change, membership.Replace):
        leaving = change.lost_member_id
    if leaving == state.member_id:
        raise exceptions.MembershipError(
            "the leader cannot remove itself; transfer its leadership first"
        )
    if not isinstance(change, membership.Promote):
        return
    progress = leading.progress.get(change.member_id)
    if progress is None or not leadership.is_active(state, change.member_id):
        raise exceptions.MembershipError(
            f"{change.member_id} does not answer; check that it is running"
        )
    if progress.match_index < state.commit_index:
        raise exceptions.MembershipError(
            f"{change.member_id} has synced {progress.match_index} of"
            f" {state.commit_index} committed entries; retry later"
        )


def read(state: states.State, read_id: int, now: float) -> list[effects.Effect]:
    """Starts a linearizable read.

    A `ReadConfirmed` effect with `read_id` follows, in the returned effects or
    in those of a later event, unless leadership is lost.

    Raises:
      NotLeaderError: This replica does not serve.
      OverloadedError: Too many reads are pending.
    """
    _advance_clock(state, now)
    leadership.add_read(state, read_id)
    return _take_effects(state)


def transfer(state: states.State, now: float) -> list[effects.Effect]:
    """Starts a leadership transfer to the most up-to-date voter.

    Raises:
      NotLeaderError: This replica does not serve.
      MembershipError: No other voter answers.
    """
    _advance_clock(state, now)
    leadership.start_transfer(state)
    return _take_effects(state)


def synced(
    state: states.State,
    *,
    index: int,
    index_term: int,
    metadata: effects.SaveMetadata | None,
    now: float,
) -> list[effects.Effect]:
    """Records that the log up to `index`, and `metadata`, are durable.

    Args:
      state: State of the replica.
      index: Index of the last entry that is synced.
      index_term: Term of that entry at the time of its write.
      metadata: Last metadata that is synced; None if none was written.
      now: Monotonic seconds.
    """
    _advance_clock(state, now)
    if metadata is not None and metadata == effects.SaveMetadata(
        state.group, state.term, state.vote
    ):
        state.metadata_dirty = False
        # The timer may have run out meanwhile, although the vote, or the
        # request for it, is sent only now.
        if now >= state.election_at:
            state.reset_election_timer()
    # An entry that was replaced after its write has a different term; its
    # sync does not cover the replacement.
    if index > state.synced_index and state.log.term_at(index) == index_term:
        state.synced_index = index
        replication.advance_commit(state)
    return _take_effects(state)


def compacted(state: states.State, index: int, max_retained_bytes: int) -> None:
    """Drops log entries that a durable snapshot covers.

    Args:
      state: State of the replica.
      index: Last log index that the snapshot covers.
      max_retained_bytes: Maximum size of the covered entries that stay in
        memory for slow followers.
    """
    state.snapshot_index = index
    base_index = index
    retained_bytes = 0
    while base_index > state.log.base_index:
        entry = state.log.entries[base_index - state.log.base_index - 1]
        retained_bytes += len(entry.data) + log.ENTRY_OVERHEAD_BYTES
        if retained_bytes > max_retained_bytes:
            break
        base_index -= 1
    state.log.compact(base_index)
    while (
        len(state.configurations) > 1
        and state.configurations[1][0] <= base_index
    ):
        state.configurations.pop(0)


def receive(
    state: states.State,
    address: str,
    message: messages.GroupMessage,
    now: float,
) -> list[effects.Effect]:
    """Handles a message that was received from `address`."""
    _advance_clock(state, now)
    if message.target != state.member_id:
        return _take_effects(state)
    if not state.group:
        # Marks the metadata as unsynced, so that a vote granted to this first
        # message is sent only once the group identity is durable as well.
        state.group = message.group
        state.save_metadata()
    if message.group != state.group:
        return _take_effects(state)
    if len(state.addresses) < states.MAX_PEER_ADDRESSES:
        state.addresses[message.source] = address
    if isinstance(message, messages.VoteRequest):
        elections.handle_vote_request(state, message)
    elif isinstance(message, messages.VoteReply):
        _receive_vote_reply(state, message)
    elif isinstance(
        message,
        messages.AppendReply | messages.HeartbeatReply | messages.SnapshotReply,
    ):
        _receive_reply(state, message)
    else:
        _receive_from_leader(state, message)
    return _take_effects(state)


def _receive_vote_reply(
    state: states.State, message: messages.VoteReply
) -> None:
    """Counts a vote; a refusal with a later term ends the election."""
    if not message.granted and message.term > state.term:
        elections.become_follower(state, message.term, "")
        return
    elections.handle_vote_reply(state, message)


def _receive_reply(
    state: states.State,
    message: messages.AppendReply
    | messages.HeartbeatReply
    | messages.SnapshotReply,
) -> None:
    """Handles a reply to a message that this replica sent as leader."""
    if message.term > state.term:
        if state.configuration.find(message.source) is not None:
            elections.become_follower(state, message.term, "")
        return
    if message.term < state.term:
        return
    if isinstance(message, messages.AppendReply):
        replication.handle_append_reply(state, message)
    elif isinstance(message, messages.HeartbeatReply):
        leadership.handle_heartbeat_reply(state, message)
    else:
        replication.handle_snapshot_reply(state, message)


def _receive_from_leader(
    state: states.State,
    message: messages.AppendRequest
    | messages.Heartbeat
    | messages.SnapshotChunk
    | messages.CampaignNow,
) -> None:
    """Handles a message that only a leader sends.

    A leader of an earlier term is sent the current term, so that it steps down.
    """
    if message.term < state.term:
        reply = messages.HeartbeatReply(
            group=state.group,
            source=state.member_id,
            target=message.source,
            term=state.term,
            round=-1,
            sent_at=0.0,
        )
        state.send(reply, after_sync=state.metadata_dirty)
        return
    if message.term > state.term:
        elections.become_follower(state, message.term, message.source)
    if state.leading is not None:
        return
    if isinstance(message, messages.AppendRequest):
        follower.handle_append(state, message)
    elif isinstance(message, messages.Heartbeat):
        follower.handle_heartbeat(state, message)
    elif isinstance(message, messages.SnapshotChunk):
        follower.handle_snapshot_chunk(state, message)
    else:
        elections.handle_campaign_now(state, message)
