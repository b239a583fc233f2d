"""Steps that replace a lost replica by its new incarnation."""

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
    """The new incarnation votes and has synced all that is committed.

    Attributes:
      index: Log index of the configuration that made it a voter, or of a
        later one.
    """

    index: int


@attrs.frozen
class Wait:
    """The new incarnation has not caught up, or a change is under way."""


def next_step(
    state: states.State,
    name: str,
    joining: collections.abc.Sequence[messages.Hello],
) -> membership.Change | Done | Wait:
    """Returns what a leader has to do next to repair the replica `name`.

    Raises:
      MembershipError: The replica is healthy, or did not make itself known.
    """
    if state.configuration_index > state.commit_index:
        return Wait()
    member = _find(state, name)
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
            f"{name} is no member and has not made itself known; start it with"
            " an empty data folder"
        )
    if member.id == state.member_id:
        return Done(state.configuration_index)
    return _wait_for_sync(state, member)


def _wait_for_sync(
    state: states.State, member: membership.Member
) -> membership.Change | Done | Wait:
    """Returns the step that follows once a member holds everything."""
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


def _find(state: states.State, name: str) -> membership.Member | None:
    """Returns the member of this name, in whichever incarnation."""
    for member in state.configuration.members:
        if member.name == name:
            return member
    return None
