"""Messages to control about configuration and fencing numbers.

Calls about claims stand in `claim_messages`, those of the delivery tree in
`feed_messages`, and those about members in `member_messages`.
"""

from __future__ import annotations

import enum

import attrs

from cactusstile.transport import codec

SCHEMA = codec.load_schema(__file__, "control.capnp")


class ApplyOutcome(enum.Enum):
    """Answer to an operator's change.

    ACCEPTED: Committed, now or at the first time it was sent.
    TAKEN: The number belongs to other content.
    LOWER: The number is below the revision in force and was never used.
    MOVED: The revision in force is no longer the base of the change.
    FORGOTTEN: The number is so old that its content is no longer known.
    """

    ACCEPTED = "accepted"
    TAKEN = "taken"
    LOWER = "lower"
    MOVED = "moved"
    FORGOTTEN = "forgotten"


@codec.register(200, SCHEMA, "ReadFleet")
@attrs.frozen
class ReadFleet:
    """Asks the leader for the fleet; ends with `FeedDelta`.

    Attributes:
      known_revision: Revision that the caller holds; 0 without one. The
        answer then starts from it, if control still knows the changes.
    """

    known_revision: int = 0


@codec.register(201, SCHEMA, "ReadRevision")
@attrs.frozen
class ReadRevision:
    """Asks the leader for the revision; ends with `FleetRevision`."""


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
      base_revision: Revision that it is made to; unused in a whole fleet.
      revision: Revision that it leads to.
      digest: Content digest of the result.
      body: Packed `delta.Delta`.
      whole: Whether the body holds the whole fleet.
    """

    base_revision: int
    revision: int
    digest: bytes
    body: bytes
    whole: bool = False


@codec.register(204, SCHEMA, "TakeFence")
@attrs.frozen
class TakeFence:
    """Raises the fencing number of a target; ends with `FenceNumber`.

    Attributes:
      target: Name of the target.
      take_id: Random identity of this call, the same when it is resent.
    """

    target: str
    take_id: bytes


@codec.register(205, SCHEMA, "ReadFence")
@attrs.frozen
class ReadFence:
    """Asks for the fencing number of a target; ends with `FenceNumber`."""

    target: str


@codec.register(206, SCHEMA, "FenceNumber")
@attrs.frozen
class FenceNumber:
    """A fencing number; 0 if none was ever taken."""

    number: int


@codec.register(207, SCHEMA, "ApplyChange")
@attrs.frozen
class ApplyChange:
    """An operator's change; ends with `ApplyReply`.

    Attributes:
      revision: The operators' number of the new fleet.
      base_revision: Revision that the change was computed against.
      digest: Content digest of the whole new fleet.
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
    """Answer to a change.

    Attributes:
      outcome: Value of `ApplyOutcome`.
      revision: For "moved" and "lower" the revision in force; otherwise the
        revision that was asked for.
      digest: Content digest that holds the number.
      operator: Who applied it; empty if forgotten.
      at_ms: When it was applied, for display; 0 if forgotten.
    """

    outcome: str
    revision: int
    digest: bytes = b""
    operator: str = ""
    at_ms: int = 0


@codec.register(209, SCHEMA, "ReadHistory")
@attrs.frozen
class ReadHistory:
    """Asks for the last changes; ends with `History`."""

    count: int


@codec.register(210, SCHEMA, "ChangeRecord")
@attrs.frozen
class ChangeRecord:
    """One accepted change.

    Attributes:
      revision: The operators' number.
      base_revision: Revision before it.
      digest: Content digest of the result.
      operator: Who applied it.
      at_ms: When, for display.
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
    """Accepted changes, the oldest first."""

    records: tuple[ChangeRecord, ...]


@codec.register(212, SCHEMA, "ConfigurationImage")
@attrs.frozen
class ConfigurationImage:
    """Snapshot of the configuration group.

    Attributes:
      revision: Revision in force.
      body: The whole fleet, packed.
      digest: Content digest of the fleet.
      records: Last changes.
      revisions: Numbers in use, eight bytes each, ascending.
      digests: Their shortened content digests.
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
    """Asks a process for a dump of its state; ends with `Dump`."""


@codec.register(214, SCHEMA, "Dump")
@attrs.frozen
class Dump:
    """State of a process as JSON; holds no prompt text and no secret."""

    text: str
