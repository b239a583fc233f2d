"""What a follower does with a leader's messages."""

from __future__ import annotations

from cactusstile.consensus import effects
from cactusstile.consensus import elections
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import replication
from cactusstile.consensus import state as states


def follow(state: states.State, leader: str) -> None:
    """Notes the word of the present term's leader."""
    elections.become_follower(state, state.term, leader)
    state.leader_contact_at = state.now
    state.reset_election_timer()


def handle_heartbeat(state: states.State, message: messages.Heartbeat) -> None:
    """Answers a heartbeat, which promises not to vote for others."""
    follow(state, message.source)
    # Committed entries stay, so a smaller index of a late message is harmless.
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
    """Appends a leader's entries, or says where the logs may match."""
    follow(state, message.source)
    if message.previous_index < state.commit_index:
        _handle_old_append(state, message)
        return
    term = state.log.term_at(message.previous_index)
    if term != message.previous_term:
        hint = min(message.previous_index - 1, state.log.last_index)
        if term is not None:
            hint = state.log.conflict_start(message.previous_index) - 1
        hint = max(hint, state.commit_index)
        reply_append(state, message.source, hint, accepted=False)
        return
    _append_after(state, message, message.entries)


def _handle_old_append(
    state: states.State, message: messages.AppendRequest
) -> None:
    """Skips the entries that are committed here already."""
    skipped = state.commit_index - message.previous_index
    entries = message.entries[skipped:]
    if entries:
        _append_after(state, message, entries)
        return
    reply_append(state, message.source, state.commit_index, accepted=True)


def _append_after(
    state: states.State,
    message: messages.AppendRequest,
    entries: tuple[messages.Entry, ...],
) -> None:
    """Appends entries whose predecessor is known to match."""
    match_index = message.previous_index + len(message.entries)
    for position, entry in enumerate(entries):
        if state.log.term_at(entry.index) == entry.term:
            continue
        replication.append_entries(state, list(entries[position:]))
        break
    replication.commit_to(state, min(message.commit_index, match_index))
    reply_append(state, message.source, match_index, accepted=True)


def reply_append(
    state: states.State, leader: str, match_index: int, *, accepted: bool
) -> None:
    """Answers once all that is claimed is synced."""
    reply = messages.AppendReply(
        group=state.group,
        source=state.member_id,
        target=leader,
        term=state.term,
        accepted=accepted,
        match_index=match_index,
    )
    state.send(reply, after_sync=True)


def handle_chunk(state: states.State, message: messages.SnapshotChunk) -> None:
    """Collects a part of a snapshot and installs it when it is whole."""
    follow(state, message.source)
    # A matching log already holds, and may have acknowledged, later entries.
    if state.log.term_at(message.index) == message.index_term:
        replication.commit_to(state, message.index)
    if message.index <= state.commit_index:
        state.incoming = None
        reply_append(state, message.source, state.commit_index, accepted=True)
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
    _install(state, message, bytes(incoming.data))
    reply_append(state, message.source, message.index, accepted=True)


def _request_chunk(
    state: states.State, message: messages.SnapshotChunk, offset: int
) -> None:
    """Asks for the part of the snapshot at `offset`."""
    reply = messages.SnapshotReply(
        group=state.group,
        source=state.member_id,
        target=message.source,
        term=state.term,
        index=message.index,
        next_offset=offset,
    )
    state.send(reply, after_sync=state.metadata_dirty)


def _install(
    state: states.State, message: messages.SnapshotChunk, data: bytes
) -> None:
    """Replaces log and applied state by a snapshot."""
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
