"""Pre-votes, votes and changes of role."""

from __future__ import annotations

from cactusstile.consensus import effects
from cactusstile.consensus import leadership
from cactusstile.consensus import messages
from cactusstile.consensus import replication
from cactusstile.consensus import state as states


def become_follower(state: states.State, term: int, leader: str) -> None:
    """Follows `leader`, or waits for one, in `term`."""
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


def start_pre_vote(state: states.State) -> None:
    """Asks whether a candidacy could be won, without changing any term."""
    state.reset_election_timer()
    state.leader = ""
    if not state.is_voter:
        return
    state.role = states.Role.PRE_CANDIDATE
    state.votes = {state.member_id}
    _request_votes(state, transfer=False)
    _count_votes(state)


def start_campaign(state: states.State, *, transfer: bool) -> None:
    """Stands for election in a new term."""
    state.reset_election_timer()
    state.role = states.Role.CANDIDATE
    state.campaigns += 1
    state.leader = ""
    state.term += 1
    state.vote = state.member_id
    state.save_metadata()
    state.votes = {state.member_id}
    _request_votes(state, transfer=transfer)
    _count_votes(state)


def retry_requests(state: states.State) -> None:
    """Asks again the voters whose grant is still missing.

    A first message often meets a broken connection, and a voter may hear the
    old leader a little longer; waiting for the next candidacy costs seconds.
    """
    if state.role in (states.Role.PRE_CANDIDATE, states.Role.CANDIDATE):
        _request_votes(state, transfer=False)


def _request_votes(state: states.State, *, transfer: bool) -> None:
    """Asks the other voters; a real vote only once the own one is synced."""
    pre_vote = state.role is states.Role.PRE_CANDIDATE
    term = state.term + 1 if pre_vote else state.term
    state.retry_votes_at = state.now + state.settings.heartbeat_interval_s
    for voter in state.configuration.voter_ids:
        if voter in state.votes:
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
    """Grants or refuses a vote or pre-vote."""
    if not message.transfer and _hears_leader(state):
        if message.term <= state.term:
            _reply(state, message, granted=False)
        return
    if not message.pre_vote and message.term > state.term:
        become_follower(state, message.term, "")
    granted = _may_grant(state, message)
    if granted and not message.pre_vote and state.vote != message.source:
        state.vote = message.source
        state.save_metadata()
        state.reset_election_timer()
    _reply(state, message, granted=granted)


def _hears_leader(state: states.State) -> bool:
    """Tells whether a leader relies on this replica's refusal of votes."""
    if state.leading is not None:
        return not leadership.has_lost_quorum(state)
    timeout = state.settings.election_timeout_s
    return state.now - state.leader_contact_at < timeout


def _may_grant(state: states.State, message: messages.VoteRequest) -> bool:
    """Tells whether the candidate's term and log allow a vote for it."""
    last = (state.log.last_term, state.log.last_index)
    if (message.last_term, message.last_index) < last:
        return False
    if message.pre_vote:
        return message.term > state.term
    if message.term != state.term:
        return False
    return state.vote in ("", message.source)


def _reply(
    state: states.State, message: messages.VoteRequest, *, granted: bool
) -> None:
    """Answers a vote request; a vote only once it is synced.

    A pre-vote promises nothing and need not wait for the disk.
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
    """Counts a vote or pre-vote."""
    if not message.granted:
        return
    wanted = states.Role.CANDIDATE
    term = state.term
    if message.pre_vote:
        wanted = states.Role.PRE_CANDIDATE
        term = state.term + 1
    if state.role is not wanted or message.term != term:
        return
    state.votes.add(message.source)
    _count_votes(state)


def _count_votes(state: states.State) -> None:
    """Moves on once a majority of the voters has granted."""
    voters = state.configuration.voter_ids
    count = 0
    for voter in voters:
        if voter in state.votes:
            count += 1
    if count < state.configuration.quorum():
        return
    if state.role is states.Role.PRE_CANDIDATE:
        start_campaign(state, transfer=False)
        return
    _become_leader(state)


def _become_leader(state: states.State) -> None:
    """Starts the term with an entry whose commit commits all earlier ones."""
    state.role = states.Role.LEADER
    state.leader = state.member_id
    first_index = state.log.last_index + 1
    state.leading = states.LeaderState(state.now, first_index)
    replication.track_members(state)
    leadership.broadcast_heartbeat(state)
    replication.append_own(state, [(messages.EntryKind.NOOP, b"")])


def handle_campaign_now(
    state: states.State, message: messages.CampaignNow
) -> None:
    """Stands for election at the leader's own wish."""
    if message.term != state.term or message.source != state.leader:
        return
    if not state.is_voter:
        return
    start_campaign(state, transfer=True)
