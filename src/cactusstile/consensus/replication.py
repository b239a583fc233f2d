"""Replicates log entries and snapshots, and advances the commit index."""

from __future__ import annotations

from cactusstile.consensus import effects
from cactusstile.consensus import leadership
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import state as states

RETRY_AFTER_HEARTBEATS = 3


def append_as_leader(
    state: states.State, payloads: list[tuple[int, bytes]]
) -> int:
    """Appends entries in the leader's term and sends them to all members.

    Args:
      state: State of the leader.
      payloads: Kind and data of each entry.

    Returns:
      Log index of the first entry.
    """
    first = state.log.last_index + 1
    entries = []
    for offset, (kind, data) in enumerate(payloads):
        entries.append(
            messages.Entry(first + offset, state.term, int(kind), data)
        )
    append_entries(state, entries)
    broadcast_appends(state)
    return first


def append_entries(state: states.State, entries: list[messages.Entry]) -> None:
    """Appends entries, replacing existing ones from the first index on."""
    first = entries[0].index
    if first <= state.log.last_index:
        state.synced_index = min(state.synced_index, first - 1)
    while state.configurations[-1][0] >= first:
        state.configurations.pop()
    state.log.append(entries)
    state.effects.append(effects.AppendEntries(entries))
    for entry in entries:
        if entry.kind != messages.EntryKind.CONFIGURATION:
            continue
        configuration = membership.decode(entry.data)
        state.configurations.append((entry.index, configuration))
    if state.leading is not None:
        track_members(state)


def track_members(state: states.State) -> None:
    """Updates the progress records to match the current configuration."""
    leading = state.leading
    assert leading is not None  # noqa: S101
    peer_ids = state.peer_ids()
    for member_id in list(leading.progress):
        if member_id not in peer_ids:
            del leading.progress[member_id]
    for member_id in peer_ids:
        if member_id in leading.progress:
            continue
        leading.progress[member_id] = states.Progress(
            state.log.last_index + 1, last_progress_at=state.now
        )


def broadcast_appends(state: states.State) -> None:
    """Sends missing entries to every member, within its in-flight bound."""
    leading = state.leading
    if leading is None:
        return
    for member_id, progress in leading.progress.items():
        _send_missing_entries(state, member_id, progress)


def _send_missing_entries(
    state: states.State, member_id: str, progress: states.Progress
) -> None:
    """Sends entries until none is missing or the in-flight bound is reached.

    A snapshot is sent instead if the log no longer holds the next entry.
    """
    while progress.snapshot_offset is None:
        if progress.inflight and progress.probing:
            return
        if len(progress.inflight) >= state.settings.max_inflight_appends:
            return
        if progress.next_index > state.log.last_index and progress.inflight:
            return
        if progress.next_index > state.log.last_index and not progress.probing:
            return
        if progress.next_index <= state.log.base_index:
            _send_snapshot(state, member_id, progress, 0)
            return
        _send_append(state, member_id, progress)


def _send_append(
    state: states.State, member_id: str, progress: states.Progress
) -> None:
    """Sends the next batch of entries."""
    previous_index = progress.next_index - 1
    previous_term = state.log.term_at(previous_index)
    assert previous_term is not None  # noqa: S101
    entries = state.log.batch_from(
        progress.next_index, state.settings.max_append_bytes
    )
    request = messages.AppendRequest(
        group=state.group,
        source=state.member_id,
        target=member_id,
        term=state.term,
        previous_index=previous_index,
        previous_term=previous_term,
        commit_index=state.commit_index,
        entries=tuple(entries),
    )
    state.send(request, after_sync=state.metadata_dirty)
    if not progress.inflight:
        progress.last_progress_at = state.now
    progress.next_index += len(entries)
    progress.inflight.append(progress.next_index - 1)


def _send_snapshot(
    state: states.State,
    member_id: str,
    progress: states.Progress,
    offset: int,
) -> None:
    """Sends the chunk of the snapshot that starts at `offset`."""
    progress.snapshot_offset = offset
    progress.last_progress_at = state.now
    progress.inflight.clear()
    address = state.address_of(member_id)
    state.effects.append(
        effects.SendSnapshotChunk(address, member_id, state.term, offset)
    )


def retry_stalled(state: states.State) -> None:
    """Resends to members without progress for `RETRY_AFTER_HEARTBEATS`."""
    leading = state.leading
    assert leading is not None  # noqa: S101
    retry_after_s = RETRY_AFTER_HEARTBEATS * state.settings.heartbeat_interval_s
    for member_id, progress in leading.progress.items():
        if progress.snapshot_offset is None and not progress.inflight:
            continue
        if state.now - progress.last_progress_at < retry_after_s:
            continue
        if progress.snapshot_offset is not None:
            _send_snapshot(state, member_id, progress, progress.snapshot_offset)
            continue
        _start_probing(state, member_id, progress, progress.match_index)


def _start_probing(
    state: states.State,
    member_id: str,
    progress: states.Progress,
    previous_index: int,
) -> None:
    """Restarts after `previous_index`, with one message in flight."""
    progress.probing = True
    progress.inflight.clear()
    progress.next_index = min(previous_index, state.log.last_index) + 1
    _send_missing_entries(state, member_id, progress)


def handle_append_reply(
    state: states.State, message: messages.AppendReply
) -> None:
    """Updates a member's progress and commits what a quorum has synced."""
    leading = state.leading
    if leading is None:
        return
    progress = leading.progress.get(message.source)
    if progress is None:
        return
    if not message.accepted:
        is_stale = message.match_index < progress.match_index
        if not is_stale and progress.snapshot_offset is None:
            progress.last_progress_at = state.now
            _start_probing(state, message.source, progress, message.match_index)
        return
    if message.match_index > progress.match_index:
        progress.match_index = message.match_index
        progress.last_progress_at = state.now
    if (
        progress.snapshot_offset is not None
        and progress.match_index >= state.log.base_index
    ):
        progress.snapshot_offset = None
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    progress.probing = False
    while progress.inflight and progress.inflight[0] <= message.match_index:
        progress.inflight.popleft()
    advance_commit(state)
    _send_missing_entries(state, message.source, progress)
    if leading.transfer_target == message.source:
        leadership.continue_transfer(state)


def handle_snapshot_reply(
    state: states.State, message: messages.SnapshotReply
) -> None:
    """Sends the next chunk; the first one if the snapshot was replaced."""
    leading = state.leading
    if leading is None:
        return
    progress = leading.progress.get(message.source)
    if progress is None or progress.snapshot_offset is None:
        return
    offset = message.next_offset
    if message.index != state.snapshot_index:
        offset = 0
    _send_snapshot(state, message.source, progress, offset)


def advance_commit(state: states.State) -> None:
    """Commits what a quorum has synced, if it is of the current term."""
    leading = state.leading
    if leading is None:
        return
    synced = []
    for voter in state.configuration.voter_ids:
        progress = leading.progress.get(voter)
        synced.append(progress.match_index if progress else state.synced_index)
    synced.sort(reverse=True)
    index = synced[state.configuration.quorum() - 1]
    if index < leading.first_index:
        return
    commit_to(state, index)


def commit_to(state: states.State, index: int) -> None:
    """Sets the commit index and applies the newly committed entries."""
    if index <= state.commit_index:
        return
    entries = state.log.entries_between(state.commit_index, index)
    state.commit_index = index
    state.effects.append(effects.Apply(entries))
