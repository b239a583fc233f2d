"""Membership steps that replace a lost replica by its new incarnation."""

from __future__ import annotations

import typing

import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import leadership
from cactusstile.consensus import membership

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import messages
    from cactusstile.consensus import state as states


@attrs.frozen
class Done:
    """The new incarnation is a voter and has synced all committed entries.

    Attributes:
      index: Log index of the configuration that made it a voter, or of a
        later one.
    """

    index: int


@attrs.frozen
class Wait:
    """The new incarnation is not caught up, or no change is possible yet.

    The leader changes no members while another change is in progress, and not
    before it has committed an entry of its own term.
    """


def next_step(
    state: states.State,
    name: str,
    joining: collections.abc.Sequence[messages.Hello],
) -> membership.Change | Done | Wait:
    """Returns the leader's next step to repair the replica `name`.

    Args:
      state: State of the leader.
      name: Name of the replica.
      joining: Replicas that announced themselves but are not members.

    Raises:
      MembershipError: The replica is neither a member nor joining, or it is
        a voter that does not answer.
    """
    if state.configuration_index > state.commit_index:
        return Wait()
    if _is_newly_elected(state):
        return Wait()
    member = _find_by_name(state, name)
    for hello in joining:
        if hello.name != name:
            continue
        if member is None:
            return membership.AddLearner(name, hello.incarnation, hello.address)
        return membership.Replace(
            member.id, name, hello.incarnation, hello.address
        )
    if member is None:
        raise exceptions.MembershipError(
            f"{name} is not a member and has not announced itself; start it"
            " with an empty data folder"
        )
    if member.id == state.member_id:
        return Done(state.configuration_index)
    return _next_step_of_member(state, member)


def _is_newly_elected(state: states.State) -> bool:
    """Returns whether the leader has yet to commit an entry of its term."""
    leading = state.leading
    return leading is not None and state.commit_index < leading.first_index


def _next_step_of_member(
    state: states.State, member: membership.Member
) -> membership.Change | Done | Wait:
    """Returns the next step for a replica that is already a member.

    Raises:
      MembershipError: The member is a voter that does not answer.
    """
    active = leadership.is_active(state, member.id)
    if member.voter and not active:
        raise exceptions.MembershipError(
            f"{member.id} does not answer; start it, with an empty data"
            " folder if its disk was lost"
        )
    leading = state.leading
    if leading is None or not active:
        return Wait()
    progress = leading.progress[member.id]
    if progress.match_index < state.commit_index:
        return Wait()
    if member.voter:
        return Done(state.configuration_index)
    return membership.Promote(member.id)


def _find_by_name(state: states.State, name: str) -> membership.Member | None:
    """Returns the member with this name, in any incarnation."""
    for member in state.configuration.members:
        if member.name == name:
            return member
    return None
