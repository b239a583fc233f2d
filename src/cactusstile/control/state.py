"""What a running control process consists of."""

from __future__ import annotations

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


@attrs.frozen
class ControlState:
    """Parts of a running control process.

    Attributes:
      settings: Its settings.
      configuration: State of the configuration group.
      claims: State of the claims group.
      replicas: This process's replica of each group, by the group's name.
      relay: Root of the delivery tree.
      sender: Sends notices to the other control VMs.
    """

    settings: control_settings.ControlSettings
    configuration: configuration.Configuration
    claims: claims.Claims
    replicas: collections.abc.Mapping[str, replica.Replica]
    relay: relay.Relay
    sender: sender.Sender

    @property
    def configuration_replica(self) -> replica.Replica:
        """Replica of the configuration group."""
        return self.replicas[control_settings.CONFIGURATION_GROUP]

    @property
    def claims_replica(self) -> replica.Replica:
        """Replica of the claims group."""
        return self.replicas[control_settings.CLAIMS_GROUP]


async def propose(to: replica.Replica, command: object) -> object:
    """Commits a command and returns its result.

    Raises:
      RemoteError: As `to_remote_error` says, or as the state refused it.
    """
    try:
        result = await to.propose(commands.pack(command))
    except consensus_exceptions.ConsensusError as error:
        raise to_remote_error(error) from error
    return commands.unpack_result(result)


async def confirm_lead(by: replica.Replica) -> None:
    """Returns once a quorum confirmed that the state is current.

    The state may be read until the next `await`.

    Raises:
      RemoteError: As `to_remote_error` says.
    """
    try:
        await by.read_barrier()
    except consensus_exceptions.ConsensusError as error:
        raise to_remote_error(error) from error


def to_remote_error(
    error: consensus_exceptions.ConsensusError,
) -> transport_exceptions.RemoteError:
    """Returns the answer that tells a caller of `error`.

    The code says whether the call may have taken effect.
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
