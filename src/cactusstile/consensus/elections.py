"""Pre-votes, votes and role changes."""

from __future__ import annotations

from cactusstile.consensus import effects
from cactusstile.consensus import leadership
from cactusstile.consensus import messages
from cactusstile.consensus import replication
from cactusstile.consensus import state as states


def become_follower(state: states.State, term: int, leader: str) -> None:
    """Becomes a follower in `term`; `leader` is empty while unknown."""
    if term > state.term:
        state.term = term
        state.vote = ""
        state.save_metadata()
    if state.leading is not None:
        state.leading = None
        state.effects.append(effects.LeadershipLost())
    if state.role is not states.Role.FOLLOWER:
        state.reset_election_timer()
    state.role = states.Role.FOLLOWER
    state.leader = leader
    state.votes.clear()


def start_pre_vote(state: states.State) -> None:
    """Checks whether an election could be won, without changing any term.

    Votes of the current term that are still being synced count when they
    arrive.
    """
    state.reset_election_timer()
    state.leader = ""
    if not state.is_voter:
        return
    state.role = states.Role.PRE_CANDIDATE
    state.pre_votes = {state.member_id}
    _request_votes(state, transfer=False)
    _count_pre_votes(state)


def start_campaign(state: states.State, *, transfer: bool) -> None:
    """Starts an election in a new term.

    Args:
      state: State of the replica.
      transfer: Whether the leader requested the election; voters then grant
        their vote although the leader is alive.
    """
    state.reset_election_timer()
    state.role = states.Role.CANDIDATE
    state.campaigns += 1
    state.campaign_at = state.now
    state.leader = ""
    state.term += 1
    state.vote = state.member_id
    state.save_metadata()
    state.votes = {state.member_id}
    _request_votes(state, transfer=transfer)
    _count_votes(state)


def retry_vote_requests(state: states.State) -> None:
    """Resends vote requests to the voters that have not granted yet.

    The first message is often lost on a broken connection, and a voter may
    still receive messages from the old leader for a short time; waiting for
    the next election timeout instead would cost seconds.
    """
    if state.role in (states.Role.PRE_CANDIDATE, states.Role.CANDIDATE):
        _request_votes(state, transfer=False)


def _request_votes(state: states.State, *, transfer: bool) -> None:
    """Sends vote requests to the voters that have not granted yet.

    A request for a real vote is sent only after this replica's own vote is
    synced; a pre-vote changes no durable state and is sent at once.
    """
    pre_vote = state.role is states.Role.PRE_CANDIDATE
    term = state.term + 1 if pre_vote else state.term
    granted = state.pre_votes if pre_vote else state.votes
    state.retry_votes_at = state.now + state.settings.heartbeat_interval_s
    for voter in state.configuration.voter_ids:
        if voter in granted:
            continue
        request = messages.VoteRequest(
            group=state.group,
            source=state.member_id,
            target=voter,
            term=term,
            last_index=state.log.last_index,
            last_term=state.log.last_term,
            pre_vote=pre_vote,
            transfer=transfer,
        )
        state.send(request, after_sync=not pre_vote)


def handle_vote_request(
    state: states.State, message: messages.VoteRequest
) -> None:
    """Grants or refuses a vote or pre-vote.

    While a leader is in contact, a request of a later term gets no reply and
    does not raise the term, unless the leader itself requested the election.
    """
    if not message.transfer and _has_recent_leader(state):
        if message.term <= state.term:
            _send_vote_reply(state, message, granted=False)
        return
    if not message.pre_vote and message.term > state.term:
        become_follower(state, message.term, "")
    granted = _is_grant_allowed(state, message)
    if granted and not message.pre_vote and state.vote != message.source:
        state.vote = message.source
        state.save_metadata()
        state.reset_election_timer()
    _send_vote_reply(state, message, granted=granted)


def _has_recent_leader(state: states.State) -> bool:
    """Returns whether a leader's lease may depend on this replica.

    A voter that replied to a heartbeat must refuse votes for an election
    timeout.
    """
    if state.leading is not None:
        return not leadership.has_lost_quorum(state)
    timeout = state.settings.election_timeout_s
    return state.now - state.leader_contact_at < timeout


def _is_grant_allowed(
    state: states.State, message: messages.VoteRequest
) -> bool:
    """Returns whether the candidate's term and log allow a vote for it.

    While this replica's own term or vote is being synced, it grants no
    pre-vote: the vote that would follow waits behind that sync, and a candidate
    that raised its term would make the vote that is being synced void.
    """
    own_last = (state.log.last_term, state.log.last_index)
    if (message.last_term, message.last_index) < own_last:
        return False
    if message.pre_vote:
        return message.term > state.term and not state.metadata_dirty
    if message.term != state.term:
        return False
    return state.vote in ("", message.source)


def _send_vote_reply(
    state: states.State, message: messages.VoteRequest, *, granted: bool
) -> None:
    """Replies to a vote request; a vote is sent only after it is synced.

    A pre-vote commits this replica to nothing and does not wait for the sync.
    """
    term = message.term if granted else state.term
    reply = messages.VoteReply(
        group=state.group,
        source=state.member_id,
        target=message.source,
        term=term,
        granted=granted,
        pre_vote=message.pre_vote,
    )
    after_sync = state.metadata_dirty and not message.pre_vote
    state.send(reply, after_sync=after_sync)


def handle_vote_reply(state: states.State, message: messages.VoteReply) -> None:
    """Counts a vote or pre-vote.

    A vote that comes while the next pre-vote runs counts for its campaign, as
    long as the term is that of the campaign.
    """
    if not message.granted:
        return
    if not message.pre_vote:
        campaigns = state.member_id in state.votes
        if campaigns and message.term == state.term:
            state.votes.add(message.source)
            _count_votes(state)
        return
    if state.role is not states.Role.PRE_CANDIDATE:
        return
    if message.term == state.term + 1:
        state.pre_votes.add(message.source)
        _count_pre_votes(state)


def _count_pre_votes(state: states.State) -> None:
    """Starts the campaign once a majority has granted its pre-vote."""
    if _is_majority(state, state.pre_votes):
        start_campaign(state, transfer=False)


def _count_votes(state: states.State) -> None:
    """Starts the term once a majority has granted its vote."""
    if _is_majority(state, state.votes):
        _become_leader(state)


def _is_majority(state: states.State, granted: set[str]) -> bool:
    count = len(granted.intersection(state.configuration.voter_ids))
    return count >= state.configuration.quorum()


def _become_leader(state: states.State) -> None:
    """Starts the term with a no-op, whose commit commits earlier entries."""
    state.role = states.Role.LEADER
    state.leader = state.member_id
    # A term is led once: rounds and the lease of a second time would restart.
    state.votes.clear()
    first_index = state.log.last_index + 1
    state.leading = states.LeaderState(
        state.now, state.campaign_at, first_index
    )
    replication.track_members(state)
    leadership.broadcast_heartbeat(state)
    replication.append_as_leader(state, [(messages.EntryKind.NOOP, b"")])


def handle_campaign_now(
    state: states.State, message: messages.CampaignNow
) -> None:
    """Starts an election that the leader requested."""
    if message.term != state.term or message.source != state.leader:
        return
    if not state.is_voter:
        return
    start_campaign(state, transfer=True)
