"""Leader duties: lease, quorum contact, reads and leadership transfer."""

from __future__ import annotations

import collections

from cactusstile.consensus import effects
from cactusstile.consensus import exceptions
from cactusstile.consensus import messages
from cactusstile.consensus import state as states

MAX_PENDING_READS = 4096


def last_quorum_contact(state: states.State) -> float:
    """Returns the send time of the last heartbeat that a quorum answered."""
    leading = _get_leader_state(state)
    times = []
    for voter in state.configuration.voter_ids:
        progress = leading.progress.get(voter)
        times.append(progress.acked_sent_at if progress else state.now)
    times.sort(reverse=True)
    return times[state.configuration.quorum() - 1]


def last_quorum_round(state: states.State) -> int:
    """Returns the number of the last heartbeat round a quorum answered."""
    leading = _get_leader_state(state)
    rounds = []
    for voter in state.configuration.voter_ids:
        progress = leading.progress.get(voter)
        rounds.append(progress.acked_round if progress else leading.round)
    rounds.sort(reverse=True)
    return rounds[state.configuration.quorum() - 1]


def holds_lease(state: states.State) -> bool:
    """Returns whether no other replica can be the leader at present.

    Voters that reply to a heartbeat refuse votes to other candidates for an
    election timeout. The lease is shorter than that timeout by the bound of
    the clock drift.
    """
    leading = state.leading
    if leading is None or leading.lease_revoked:
        return False
    return state.now < last_quorum_contact(state) + state.settings.lease_s


def serves(state: states.State) -> bool:
    """Returns whether proposals and reads may be accepted.

    A read still needs the lease or a quorum round. A new leader serves before
    its first heartbeat is answered, if it asked for its votes just before:
    votes may have waited while the process stood still.
    """
    leading = state.leading
    if leading is None or leading.transfer_target:
        return False
    contact = max(last_quorum_contact(state), leading.votes_asked_at)
    return state.now < contact + state.settings.lease_s


def has_lost_quorum(state: states.State) -> bool:
    """Returns whether a leader must step down, as no quorum answers."""
    leading = _get_leader_state(state)
    contact = max(last_quorum_contact(state), leading.since)
    return state.now >= contact + state.settings.election_timeout_s


def broadcast_heartbeat(state: states.State) -> None:
    """Starts a heartbeat round: sends a heartbeat to every other member."""
    leading = _get_leader_state(state)
    leading.round += 1
    interval = state.settings.heartbeat_interval_s
    leading.next_heartbeat_at = state.now + interval
    for member_id, progress in leading.progress.items():
        heartbeat = messages.Heartbeat(
            group=state.group,
            source=state.member_id,
            target=member_id,
            term=state.term,
            commit_index=min(progress.match_index, state.commit_index),
            round=leading.round,
            sent_at=state.now,
        )
        state.send(heartbeat, after_sync=state.metadata_dirty)
    confirm_reads(state)


def handle_heartbeat_reply(
    state: states.State, message: messages.HeartbeatReply
) -> None:
    """Extends the lease and confirms reads."""
    leading = state.leading
    if leading is None:
        return
    progress = leading.progress.get(message.source)
    if progress is None or message.round <= progress.acked_round:
        return
    progress.acked_round = message.round
    progress.acked_sent_at = message.sent_at
    confirm_reads(state)


def add_read(state: states.State, read_id: int) -> None:
    """Confirms a read by the lease, or queues it for a heartbeat round.

    Raises:
      NotLeaderError: This replica is not the leader, or does not serve.
      OverloadedError: Too many reads are pending.
    """
    leading = state.leading
    if leading is None or not serves(state):
        raise exceptions.NotLeaderError(leader_hint(state))
    if len(leading.reads) >= MAX_PENDING_READS:
        raise exceptions.OverloadedError(
            "too many reads wait for a quorum; retry later",
            state.settings.heartbeat_interval_s,
        )
    index = max(state.commit_index, leading.first_index)
    if holds_lease(state):
        state.effects.append(effects.ReadConfirmed(read_id, index))
        return
    read = states.PendingRead(read_id, index, leading.round + 1)
    leading.reads.append(read)
    broadcast_heartbeat(state)


def confirm_reads(state: states.State) -> None:
    """Confirms the reads whose heartbeat round a quorum has answered."""
    leading = _get_leader_state(state)
    if not leading.reads:
        return
    confirmed = last_quorum_round(state)
    waiting: collections.deque[states.PendingRead] = leading.reads
    while waiting and waiting[0].round <= confirmed:
        read = waiting.popleft()
        state.effects.append(effects.ReadConfirmed(read.read_id, read.index))


def start_transfer(state: states.State) -> None:
    """Selects the most up-to-date voter as next leader and stops serving.

    Raises:
      NotLeaderError: This replica is not the leader, or does not serve.
      MembershipError: No other voter answers.
    """
    leading = state.leading
    if leading is None or not serves(state):
        raise exceptions.NotLeaderError(leader_hint(state))
    target = ""
    for voter in state.configuration.voter_ids:
        progress = leading.progress.get(voter)
        if progress is None or not is_active(state, voter):
            continue
        if target and progress.match_index <= (
            leading.progress[target].match_index
        ):
            continue
        target = voter
    if not target:
        raise exceptions.MembershipError("no other voter answers; retry later")
    leading.transfer_target = target
    timeout = state.settings.election_timeout_s
    leading.transfer_deadline = state.now + timeout
    continue_transfer(state)


def continue_transfer(state: states.State) -> None:
    """Sends `CampaignNow` to the next leader once it holds the complete log.

    The lease is revoked, since the new election may be won before it expires.
    """
    leading = _get_leader_state(state)
    progress = leading.progress.get(leading.transfer_target)
    if progress is None or progress.match_index != state.log.last_index:
        return
    leading.lease_revoked = True
    state.send(
        messages.CampaignNow(
            group=state.group,
            source=state.member_id,
            target=leading.transfer_target,
            term=state.term,
        )
    )


def is_active(state: states.State, member_id: str) -> bool:
    """Returns whether a member answered within the last election timeout."""
    leading = state.leading
    if leading is None:
        return False
    progress = leading.progress.get(member_id)
    if progress is None:
        return member_id == state.member_id
    timeout = state.settings.election_timeout_s
    return state.now - progress.acked_sent_at < timeout


def leader_hint(state: states.State) -> str:
    """Returns the address of another replica that leads; empty if unknown."""
    if state.leader == state.member_id:
        return ""
    return state.address_of(state.leader)


def _get_leader_state(state: states.State) -> states.LeaderState:
    """Returns the leader state; this replica must be the leader."""
    assert state.leading is not None  # noqa: S101
    return state.leading
