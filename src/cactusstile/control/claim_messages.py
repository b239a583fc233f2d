"""Messages about claims, by which a request runs at most once."""

from __future__ import annotations

import enum

import attrs

from cactusstile.control import messages
from cactusstile.transport import codec


class ClaimState(enum.Enum):
    """State of a request key.

    ABSENT: No claim is stored under the key.
    RUNNING: The key is claimed and the run has not finished.
    FINISHED: The run has finished.
    CLOSED: No attempt up to the epoch of the closing may claim the key.
    MISMATCH: The key was used for a request with other content.
    """

    ABSENT = "absent"
    RUNNING = "running"
    FINISHED = "finished"
    CLOSED = "closed"
    MISMATCH = "mismatch"


@codec.register(220, messages.SCHEMA, "Claim")
@attrs.frozen
class Claim:
    """Claims the right to run a request; the reply is `ClaimReply`.

    Attributes:
      workspace: Workspace of the caller.
      request_key: Identity of the request within its workspace.
      content_digest: Digest of the request's content.
      incarnation: Incarnation of the process that will run it.
      claim_id: Random identity of this claim; a resend has the same one.
      epoch: Epoch drawn when the attempt arrived; 0 if none was drawn.
    """

    workspace: str
    request_key: str
    content_digest: bytes
    incarnation: int
    claim_id: bytes
    epoch: int = 0


@codec.register(221, messages.SCHEMA, "ClaimReply")
@attrs.frozen
class ClaimReply:
    """State of a claim.

    Attributes:
      granted: Whether the caller, and no other, may run the request.
      state: Value of `ClaimState`.
      incarnation: Incarnation of the process that claimed the key; for a
        closed key, the epoch of the closing.
      claim_id: Identity of the first claim.
      outcome: Outcome reported by the process that ran the request; empty
        before the end.
      answer: Stored answer; empty before the end or if it was dropped.
      answer_kept: Whether `answer` is the complete stored answer.
      epoch: For a read, larger than all epochs drawn before; otherwise 0.
    """

    granted: bool
    state: str
    incarnation: int = 0
    claim_id: bytes = b""
    outcome: str = ""
    answer: bytes = b""
    answer_kept: bool = False
    epoch: int = 0


@codec.register(222, messages.SCHEMA, "FinishClaim")
@attrs.frozen
class FinishClaim:
    """Stores the outcome of a claimed run; the reply is `ClaimReply`."""

    workspace: str
    request_key: str
    claim_id: bytes
    outcome: str
    answer: bytes


@codec.register(223, messages.SCHEMA, "CloseClaim")
@attrs.frozen
class CloseClaim:
    """Closes an unclaimed key to all attempts up to an epoch.

    The reply is `ClaimReply`. Attempts with a later epoch may claim the key.

    Attributes:
      workspace: Workspace of the caller.
      request_key: Identity of the request within its workspace.
      content_digest: Digest of the request's content.
      epoch: Epoch of the closing; set by the leader.
    """

    workspace: str
    request_key: str
    content_digest: bytes
    epoch: int = 0


@codec.register(224, messages.SCHEMA, "ReleaseClaim")
@attrs.frozen
class ReleaseClaim:
    """Releases a claim that never ran; the reply is `ClaimReply`."""

    workspace: str
    request_key: str
    claim_id: bytes


@codec.register(225, messages.SCHEMA, "ReadClaim")
@attrs.frozen
class ReadClaim:
    """Reads the state of a key; the reply is `ClaimReply`."""

    workspace: str
    request_key: str
    content_digest: bytes


@codec.register(226, messages.SCHEMA, "ClaimTick")
@attrs.frozen
class ClaimTick:
    """Command of the leader that advances the leader time of the group.

    Attributes:
      elapsed_ms: Time under this leader since the last tick.
    """

    elapsed_ms: int
