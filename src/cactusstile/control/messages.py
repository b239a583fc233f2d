"""Messages about the configuration and fencing numbers.

Messages about claims are in `claim_messages`, those of the delivery tree in
`feed_messages`, and those about members in `member_messages`.
"""

from __future__ import annotations

import enum

import attrs

from cactusstile.transport import codec

SCHEMA = codec.load_schema(__file__, "control.capnp")


class ApplyOutcome(enum.Enum):
    """Outcome of an operator's change.

    ACCEPTED: Committed by this call or by an earlier one with this change.
    TAKEN: The revision number was used for other content.
    LOWER: The revision number is below the one in force and was never used.
    MOVED: The revision in force is not the base of the change.
    FORGOTTEN: The revision number is so old that its record was discarded.
    """

    ACCEPTED = "accepted"
    TAKEN = "taken"
    LOWER = "lower"
    MOVED = "moved"
    FORGOTTEN = "forgotten"


@codec.register(200, SCHEMA, "ReadFleet")
@attrs.frozen
class ReadFleet:
    """Reads the fleet from the leader; the reply is `FeedDelta`.

    Attributes:
      known_revision: Revision that the caller holds, 0 if none. The reply is
        a change from this revision if control still stores the changes.
    """

    known_revision: int = 0


@codec.register(201, SCHEMA, "ReadRevision")
@attrs.frozen
class ReadRevision:
    """Reads the revision from the leader; the reply is `FleetRevision`."""


@codec.register(202, SCHEMA, "FleetRevision")
@attrs.frozen
class FleetRevision:
    """A revision that a quorum confirmed after the call began."""

    revision: int
    digest: bytes


@codec.register(203, SCHEMA, "FeedDelta")
@attrs.frozen
class FeedDelta:
    """A change from one revision to a later one.

    Attributes:
      base_revision: Revision to which the change applies; unused if `whole`.
      revision: Revision of the result.
      digest: Content digest of the result.
      body: Packed `delta.Delta`.
      whole: Whether the body contains the complete fleet.
    """

    base_revision: int
    revision: int
    digest: bytes
    body: bytes
    whole: bool = False


@codec.register(204, SCHEMA, "TakeFence")
@attrs.frozen
class TakeFence:
    """Raises the fencing number of a target; the reply is `FenceNumber`.

    Attributes:
      target: Name of the target.
      take_id: Random identity of this call; a resend has the same one.
    """

    target: str
    take_id: bytes


@codec.register(205, SCHEMA, "ReadFence")
@attrs.frozen
class ReadFence:
    """Reads the fencing number of a target; the reply is `FenceNumber`."""

    target: str


@codec.register(206, SCHEMA, "FenceNumber")
@attrs.frozen
class FenceNumber:
    """A fencing number; 0 if none was taken."""

    number: int


@codec.register(207, SCHEMA, "ApplyChange")
@attrs.frozen
class ApplyChange:
    """An operator's change; the reply is `ApplyReply`.

    Attributes:
      revision: Revision number of the new fleet, chosen by the operators.
      base_revision: Revision that the change was computed against.
      digest: Content digest of the complete new fleet.
      body: Packed `delta.Delta` from the base to the new fleet.
      operator: Name of the operator; set by control.
      at_ms: Wall-clock time in milliseconds; set by control, for display.
    """

    revision: int
    base_revision: int
    digest: bytes
    body: bytes
    operator: str = ""
    at_ms: int = 0


@codec.register(208, SCHEMA, "ApplyReply")
@attrs.frozen
class ApplyReply:
    """Reply to a change.

    Attributes:
      outcome: Value of `ApplyOutcome`.
      revision: For "moved" and "lower" the revision in force; otherwise the
        requested revision.
      digest: Shortened content digest of `revision`; empty if unknown.
      operator: For "taken", the operator who used the number first; empty if
        the record was discarded.
      at_ms: For "taken", wall-clock time of the first use in milliseconds, for
        display; 0 if the record was discarded.
    """

    outcome: str
    revision: int
    digest: bytes = b""
    operator: str = ""
    at_ms: int = 0


@codec.register(209, SCHEMA, "ReadHistory")
@attrs.frozen
class ReadHistory:
    """Reads the last changes; the reply is `History`.

    Attributes:
      count: Maximum number of changes.
    """

    count: int


@codec.register(210, SCHEMA, "ChangeRecord")
@attrs.frozen
class ChangeRecord:
    """One accepted change.

    Attributes:
      revision: Revision number of the result.
      base_revision: Revision before the change.
      digest: Content digest of the result.
      operator: Name of the operator who applied the change.
      at_ms: Wall-clock time in milliseconds, for display.
      body: Packed `delta.Delta`; empty if it was dropped.
    """

    revision: int
    base_revision: int
    digest: bytes
    operator: str
    at_ms: int
    body: bytes


@codec.register(211, SCHEMA, "History")
@attrs.frozen
class History:
    """Accepted changes, oldest first."""

    records: tuple[ChangeRecord, ...]


@codec.register(212, SCHEMA, "ConfigurationImage")
@attrs.frozen
class ConfigurationImage:
    """Snapshot of the configuration group.

    Attributes:
      revision: Revision in force.
      body: The complete fleet, packed.
      digest: Content digest of the fleet.
      records: Last accepted changes.
      revisions: Accepted revision numbers, eight bytes each, ascending; see
        `revisions.RevisionIndex.dump`.
      digests: Shortened content digests of `revisions`.
      fences: Fencing numbers by target, as JSON.
    """

    revision: int
    body: bytes
    digest: bytes
    records: tuple[ChangeRecord, ...]
    revisions: bytes
    digests: bytes
    fences: bytes


@codec.register(213, SCHEMA, "ReadDump")
@attrs.frozen
class ReadDump:
    """Reads a dump of the state of a process; the reply is `Dump`."""


@codec.register(214, SCHEMA, "Dump")
@attrs.frozen
class Dump:
    """State of a process as JSON, without prompt texts and secrets."""

    text: str
