"""Handles the leader's messages on a follower."""

from __future__ import annotations

from cactusstile.consensus import effects
from cactusstile.consensus import elections
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import replication
from cactusstile.consensus import state as states


def record_leader_contact(state: states.State, leader: str) -> None:
    """Records a message from the leader of the current term."""
    elections.become_follower(state, state.term, leader)
    state.leader_contact_at = state.now
    state.reset_election_timer()


def handle_heartbeat(state: states.State, message: messages.Heartbeat) -> None:
    """Replies to a heartbeat.

    The reply extends the leader's lease: this voter then refuses votes to
    other candidates for an election timeout.
    """
    record_leader_contact(state, message.source)
    # A delayed message may carry a lower commit index; `commit_to` ignores it,
    # as committed entries are final.
    if state.log.term_at(message.commit_index) is not None:
        replication.commit_to(state, message.commit_index)
    reply = messages.HeartbeatReply(
        group=state.group,
        source=state.member_id,
        target=message.source,
        term=state.term,
        round=message.round,
        sent_at=message.sent_at,
    )
    state.send(reply, after_sync=state.metadata_dirty)


def handle_append(state: states.State, message: messages.AppendRequest) -> None:
    """Appends the leader's entries, or replies where the logs may match."""
    record_leader_contact(state, message.source)
    if message.previous_index < state.commit_index:
        _handle_overlapping_append(state, message)
        return
    term = state.log.term_at(message.previous_index)
    if term != message.previous_term:
        hint_index = min(message.previous_index - 1, state.log.last_index)
        if term is not None:
            hint_index = state.log.term_start_index(message.previous_index) - 1
        hint_index = max(hint_index, state.commit_index)
        send_append_reply(state, message.source, hint_index, accepted=False)
        return
    _append_matching_entries(state, message, message.entries)


def _handle_overlapping_append(
    state: states.State, message: messages.AppendRequest
) -> None:
    """Skips the entries that are already committed on this replica."""
    skipped = state.commit_index - message.previous_index
    entries = message.entries[skipped:]
    if entries:
        _append_matching_entries(state, message, entries)
        return
    send_append_reply(state, message.source, state.commit_index, accepted=True)


def _append_matching_entries(
    state: states.State,
    message: messages.AppendRequest,
    entries: tuple[messages.Entry, ...],
) -> None:
    """Appends entries whose predecessor matches the leader's log."""
    match_index = message.previous_index + len(message.entries)
    for position, entry in enumerate(entries):
        if state.log.term_at(entry.index) == entry.term:
            continue
        replication.append_entries(state, list(entries[position:]))
        break
    replication.commit_to(state, min(message.commit_index, match_index))
    send_append_reply(state, message.source, match_index, accepted=True)


def send_append_reply(
    state: states.State, leader: str, match_index: int, *, accepted: bool
) -> None:
    """Replies to an append after all acknowledged entries are synced."""
    reply = messages.AppendReply(
        group=state.group,
        source=state.member_id,
        target=leader,
        term=state.term,
        accepted=accepted,
        match_index=match_index,
    )
    state.send(reply, after_sync=True)


def handle_snapshot_chunk(
    state: states.State, message: messages.SnapshotChunk
) -> None:
    """Collects a snapshot chunk and installs the snapshot once complete."""
    record_leader_contact(state, message.source)
    # If the log matches the snapshot, later entries may have been acknowledged
    # and must not be dropped.
    if state.log.term_at(message.index) == message.index_term:
        replication.commit_to(state, message.index)
    if message.index <= state.commit_index:
        state.incoming = None
        send_append_reply(
            state, message.source, state.commit_index, accepted=True
        )
        return
    if message.total > state.settings.max_snapshot_bytes:
        return
    incoming = state.incoming
    if incoming is None or (incoming.index, incoming.term) != (
        message.index,
        message.index_term,
    ):
        incoming = states.IncomingSnapshot(message.index, message.index_term)
        state.incoming = incoming
    if message.offset == len(incoming.data):
        incoming.data += message.data
    if len(incoming.data) < message.total:
        _request_chunk(state, message, len(incoming.data))
        return
    state.incoming = None
    _install_snapshot(state, message, bytes(incoming.data))
    send_append_reply(state, message.source, message.index, accepted=True)


def _request_chunk(
    state: states.State, message: messages.SnapshotChunk, offset: int
) -> None:
    """Requests the chunk of the snapshot that starts at `offset`."""
    reply = messages.SnapshotReply(
        group=state.group,
        source=state.member_id,
        target=message.source,
        term=state.term,
        index=message.index,
        next_offset=offset,
    )
    state.send(reply, after_sync=state.metadata_dirty)


def _install_snapshot(
    state: states.State, message: messages.SnapshotChunk, data: bytes
) -> None:
    """Replaces the log and the applied state by a snapshot."""
    configuration = membership.decode(message.configuration)
    state.log.reset(message.index, message.index_term)
    state.configurations = [(message.index, configuration)]
    state.commit_index = message.index
    state.snapshot_index = message.index
    state.synced_index = 0
    state.effects.append(
        effects.InstallSnapshot(
            message.index, message.index_term, message.configuration, data
        )
    )
