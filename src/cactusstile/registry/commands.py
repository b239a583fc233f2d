"""Commands, results and the snapshot of the replicated state machine."""

from __future__ import annotations

import attrs

from cactusstile.sites import builds
from cactusstile.sites import hold_messages
from cactusstile.sites import messages
from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "registry.capnp")


@codec.register(500, _SCHEMA, "ReplaceConfiguration")
@attrs.frozen
class ReplaceConfiguration:
    """Command that puts a configuration in force unless it is outdated.

    Attributes:
      version: Version number assigned by the operator.
      digest: SHA-256 digest of the document in canonical JSON.
      document: The document as received, compressed.
      sharing: Names of its workspaces that are not isolated.
      isolated: Names of its workspaces that are.
    """

    version: int
    digest: bytes
    document: bytes
    sharing: tuple[str, ...] = ()
    isolated: tuple[str, ...] = ()


@codec.register(501, _SCHEMA, "ConfigurationOutcome")
@attrs.frozen
class ConfigurationOutcome:
    """Result of `ReplaceConfiguration`.

    Attributes:
      outcome: "accepted", "known", "outdated" or "conflict".
      version: Version in force after the command.
    """

    outcome: str
    version: int


@codec.register(502, _SCHEMA, "NameWeights")
@attrs.frozen
class NameWeights:
    """Command that sets the newest version of a model's weights."""

    model: str
    version: int


@codec.register(503, _SCHEMA, "WeightsOutcome")
@attrs.frozen
class WeightsOutcome:
    """Result of `NameWeights`: the newest version after the command."""

    version: int


@codec.register(504, _SCHEMA, "SiteImage")
@attrs.frozen
class SiteImage:
    """Snapshot of the replicated state.

    `shared_scope` and `sharers` are those of `shared_scope.SharedScope`.
    """

    version: int
    digest: bytes
    document: bytes
    weights: tuple[messages.NamedWeights, ...]
    holds: tuple[hold_messages.Hold, ...] = ()
    released: tuple[hold_messages.Hold, ...] = ()
    builds: tuple[builds.ServiceBuilds, ...] = ()
    evacuated: tuple[str, ...] = ()
    readmitted: tuple[str, ...] = ()
    shared_scope: int = 0
    sharers: tuple[str, ...] = ()


@codec.register(505, _SCHEMA, "AskMembership")
@attrs.frozen
class AskMembership:
    """Call to the leader: is a replica still a member of the group?"""

    member_id: str


@codec.register(506, _SCHEMA, "MembershipAnswer")
@attrs.frozen
class MembershipAnswer:
    """Answer to `AskMembership`, confirmed by a quorum."""

    is_member: bool


@codec.register(507, _SCHEMA, "FindLeader")
@attrs.frozen
class FindLeader:
    """Call to any control process: which one leads?"""


@codec.register(508, _SCHEMA, "LeaderFound")
@attrs.frozen
class LeaderFound:
    """Answer to `FindLeader`.

    Attributes:
      leader: Address of the leader, which may be outdated; empty if unknown.
      control: Addresses of all control processes.
    """

    leader: str
    control: tuple[str, ...]
