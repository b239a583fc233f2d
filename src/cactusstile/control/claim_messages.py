"""Messages to control about claims of requests that run at most once."""

from __future__ import annotations

import enum

import attrs

from cactusstile.control import messages
from cactusstile.transport import codec


class ClaimState(enum.Enum):
    """What control knows about a request key."""

    ABSENT = "absent"
    RUNNING = "running"
    FINISHED = "finished"
    CLOSED = "closed"
    MISMATCH = "mismatch"


@codec.register(220, messages.SCHEMA, "Claim")
@attrs.frozen
class Claim:
    """Asks for the right to run a request; ends with `ClaimReply`.

    Attributes:
      workspace: Workspace of the caller.
      request_key: Identity of the request within its workspace.
      content_digest: Digest of the request's content.
      incarnation: Incarnation of the process that is to run it.
      claim_id: Random identity of this claim, the same when it is resent.
      epoch: Epoch drawn when the attempt arrived; 0 if none was.
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
      granted: Whether the caller, and it alone, may run the request.
      state: Value of `ClaimState`.
      incarnation: Incarnation of the process that claimed it.
      claim_id: Identity of the first claim.
      outcome: Word given by the process that ran it; empty before.
      answer: Stored answer; empty before the end or when it was dropped.
      answer_kept: Whether the answer is the whole one that was stored.
      epoch: Of a read, larger than all epochs drawn before; otherwise 0.
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
    """Stores the outcome of a claimed run; ends with `ClaimReply`."""

    workspace: str
    request_key: str
    claim_id: bytes
    outcome: str
    answer: bytes


@codec.register(223, messages.SCHEMA, "CloseClaim")
@attrs.frozen
class CloseClaim:
    """Closes an unclaimed key to all attempts until now.

    Ends with `ClaimReply`. Attempts whose epoch is drawn later may claim it.

    Attributes:
      workspace: Workspace of the caller.
      request_key: Identity of the request within its workspace.
      content_digest: Digest of the request's content.
      epoch: Filled in by the leader.
    """

    workspace: str
    request_key: str
    content_digest: bytes
    epoch: int = 0


@codec.register(224, messages.SCHEMA, "ReleaseClaim")
@attrs.frozen
class ReleaseClaim:
    """Gives a claim back that surely never ran; ends with `ClaimReply`."""

    workspace: str
    request_key: str
    claim_id: bytes


@codec.register(225, messages.SCHEMA, "ReadClaim")
@attrs.frozen
class ReadClaim:
    """Asks for the state of a key, claiming nothing; ends with `ClaimReply`."""

    workspace: str
    request_key: str
    content_digest: bytes


@codec.register(226, messages.SCHEMA, "ClaimTick")
@attrs.frozen
class ClaimTick:
    """Command of the leader: time that passed under its lead."""

    elapsed_ms: int
