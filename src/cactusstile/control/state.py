"""Components of a running control process, and access to its replicas."""

from __future__ import annotations

import itertools
import typing

import attrs

from cactusstile.consensus import exceptions as consensus_exceptions
from cactusstile.control import attempts
from cactusstile.control import commands
from cactusstile.control import settings as control_settings
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica
    from cactusstile.control import claims
    from cactusstile.control import configuration
    from cactusstile.control import sender
    from cactusstile.state import relay


TERM_SHIFT_BITS = 40


@attrs.frozen
class ControlState:
    """Components of a running control process.

    Attributes:
      settings: Settings of the process.
      configuration: State machine of the configuration group.
      claims: State machine of the claims group.
      replicas: Replicas of this process by group name.
      relay: Root relay of the delivery tree.
      sender: Sends notices to the other control VMs.
      draws: Counter of the epochs that this process drew.
    """

    settings: control_settings.ControlSettings
    configuration: configuration.Configuration
    claims: claims.Claims
    replicas: collections.abc.Mapping[str, replica.Replica]
    relay: relay.Relay
    sender: sender.Sender
    draws: collections.abc.Iterator[int] = attrs.field(
        factory=lambda: itertools.count(1)
    )

    @property
    def configuration_replica(self) -> replica.Replica:
        """Local replica of the configuration group."""
        return self.replicas[control_settings.CONFIGURATION_GROUP]

    @property
    def claims_replica(self) -> replica.Replica:
        """Local replica of the claims group."""
        return self.replicas[control_settings.CLAIMS_GROUP]


async def propose(group_replica: replica.Replica, command: object) -> object:
    """Commits a command and returns its result.

    Raises:
      RemoteError: The command was not committed, see `to_remote_error`, or
        the state machine refused it.
    """
    try:
        result = await group_replica.propose(commands.pack(command))
    except consensus_exceptions.ConsensusError as error:
        raise to_remote_error(error) from error
    return commands.unpack_result(result)


async def draw_epoch(state: ControlState) -> int:
    """Returns an epoch above all epochs that were returned before this call.

    The upper bits of an epoch are the leader's term and the lower bits count
    within the term. A quorum confirms the term after the count, so epochs of
    earlier leaders are smaller.

    Raises:
      RemoteError: Leadership was not confirmed, or the term changed.
    """
    claims_replica = state.claims_replica
    term = claims_replica.status().term
    epoch = (term << TERM_SHIFT_BITS) + next(state.draws)
    await confirm_leadership(claims_replica)
    if claims_replica.status().term != term:
        raise transport_exceptions.RemoteError(
            attempts.NOT_LEADER, "the leader changed meanwhile"
        )
    return epoch


async def confirm_leadership(group_replica: replica.Replica) -> None:
    """Returns once a quorum has confirmed that the local state is current.

    The caller may read the state until its next `await`.

    Raises:
      RemoteError: Leadership was not confirmed, see `to_remote_error`.
    """
    try:
        await group_replica.read_barrier()
    except consensus_exceptions.ConsensusError as error:
        raise to_remote_error(error) from error


def to_remote_error(
    error: consensus_exceptions.ConsensusError,
) -> transport_exceptions.RemoteError:
    """Returns the error reply to a caller for a consensus error.

    Its code determines whether the call may have taken effect.
    """
    text = str(error)
    match error:
        case consensus_exceptions.NotLeaderError():
            code, detail = attempts.NOT_LEADER, error.leader_address
        case consensus_exceptions.OverloadedError():
            code, detail = attempts.OVERLOADED, f"{error.retry_after_s:.3f}"
        case consensus_exceptions.TooLargeError():
            code, detail = "too_large", ""
        case consensus_exceptions.NotMemberError():
            code, detail = attempts.NOT_MEMBER, ""
        case consensus_exceptions.MembershipError():
            code, detail = "refused", ""
        case _:
            code, detail = attempts.UNCERTAIN, ""
    return transport_exceptions.RemoteError(code, text, detail)
