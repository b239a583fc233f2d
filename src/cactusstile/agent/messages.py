"""Request messages between entries and agents.

A call of `Probe` ends with `ProbeReply`; `Run` and `Attach` send `RunTokens`
items and end with `RunEnd` or `Refused`; `ServiceCall` ends with
`ServiceReply` or `Refused`. Times are durations in milliseconds.
"""

from __future__ import annotations

import attrs

from cactusstile import verdict
from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "requests.capnp")


@codec.register(100, _SCHEMA, "Probe")
@attrs.frozen
class Probe:
    """Requests an agent's current state with regard to a run.

    Attributes:
      workspace: Workspace of the caller.
      deployment: Model deployment.
      adapter: "name@version" of the adapter, empty without one.
      block_keys: Chained keys of the prompt's full blocks for the version
        that the entry assumes; possibly only some of the leading ones.
      prompt_tokens: Length of the prompt.
      max_tokens: Maximum length of the output.
      priority: Runs with larger values start first.
      time_left_ms: Time until the caller's deadline; 0 means none.
      revision: Configuration revision of the entry.
      reserve: Whether to make a short reservation in the queue.
      prefix_key: Key that places the prompt, see `routing.prefix`.
    """

    workspace: str
    deployment: str
    adapter: str
    block_keys: tuple[bytes, ...]
    prompt_tokens: int
    max_tokens: int
    priority: int = 0
    time_left_ms: int = 0
    revision: int = 0
    reserve: bool = False
    prefix_key: bytes = b""


@codec.register(101, _SCHEMA, "ProbeReply")
@attrs.frozen
class ProbeReply:
    """An agent's exact current state with regard to a run.

    Attributes:
      revision: Configuration revision of the agent.
      version: Weight version that the target currently runs.
      resident_blocks: Leading blocks of the prompt in accelerator memory.
      queued_tokens: Prompt tokens that wait in the queue.
      running: Number of runs that hold a slot.
      slots: Maximum number of concurrent runs at the target.
      wait_ms: Estimated wait in the queue.
      prefill_ms: Estimated time to compute the tokens that are not resident.
      leaving: Whether the target accepts no new work.
      reservation: Number of the reservation; 0 for none.
      block_bytes: Size of a KV block of the engine; 0 if unknown.
    """

    revision: int
    version: str
    resident_blocks: int
    queued_tokens: int
    running: int
    slots: int
    wait_ms: int
    prefill_ms: int
    leaving: bool = False
    reservation: int = 0
    block_bytes: int = 0


@codec.register(102, _SCHEMA, "Run")
@attrs.frozen
class Run:
    """Requests a run of a prompt.

    Attributes:
      request_key: Identity of the request over all attempts, within its
        workspace; the caller's idempotency key when there is one.
      attempt: Number of this attempt, from 0.
      workspace: Workspace of the caller.
      deployment: Model deployment.
      version: Required weight version; empty accepts the current one.
      adapter: "name@version" of the adapter, empty without one.
      tokens: Prompt.
      generated: Output tokens of an earlier attempt that this one continues.
      max_tokens: Maximum length of the output, including `generated`.
      priority: Runs with larger values start first.
      time_left_ms: Time until the caller's deadline; 0 means none.
      repeatable: Whether the request may run more than once.
      revision: Configuration revision of the entry.
      reservation: Number of a reservation to use; 0 for none.
      prefix_key: Key that places the prompt, see `routing.prefix`; empty if
        its blocks are not to be stored.
      epoch: Epoch drawn when the attempt arrived, for its claim; 0 for none.
    """

    request_key: str
    attempt: int
    workspace: str
    deployment: str
    version: str
    adapter: str
    tokens: tuple[int, ...]
    generated: tuple[int, ...] = ()
    max_tokens: int = 256
    priority: int = 0
    time_left_ms: int = 0
    repeatable: bool = True
    revision: int = 0
    reservation: int = 0
    prefix_key: bytes = b""
    epoch: int = 0


@codec.register(103, _SCHEMA, "Attach")
@attrs.frozen
class Attach:
    """Resumes the output stream of a run that the agent still holds.

    A run without an open call is cancelled after a grace period. An entry that
    detects a gap therefore opens the attach call before it cancels the older
    call.

    Attributes:
      request_key: Key of the run.
      workspace: Workspace of the caller.
      next_index: Index of the first missing output token.
    """

    request_key: str
    workspace: str
    next_index: int


@codec.register(104, _SCHEMA, "RunTokens")
@attrs.frozen
class RunTokens:
    """A batch of output tokens.

    Attributes:
      first_index: Index of the first token in the run's output, from 0.
      tokens: Tokens in order.
      text: Text of the tokens.
    """

    first_index: int
    tokens: tuple[int, ...]
    text: str


@codec.register(105, _SCHEMA, "RunEnd")
@attrs.frozen
class RunEnd:
    """Ends a completed run.

    Attributes:
      count: Output tokens of the complete run, including `Run.generated`.
      finish_reason: "stop" or "length".
      version: Weight version that the run used.
      prompt_tokens: Length of the prompt.
      resident_tokens: Prompt tokens found in accelerator memory.
      imported_tokens: Prompt tokens imported from stored blocks.
    """

    count: int
    finish_reason: str
    version: str
    prompt_tokens: int
    resident_tokens: int
    imported_tokens: int


@codec.register(0, _SCHEMA, "Header")
@attrs.frozen
class Header:
    """One HTTP header."""

    name: str
    value: str


@codec.register(106, _SCHEMA, "ServiceCall")
@attrs.frozen
class ServiceCall:
    """Requests that an agent forward an HTTP request to its plain service.

    Attributes:
      request_key: Identity of the request over all attempts.
      attempt: Number of this attempt, from 0.
      workspace: Workspace of the caller.
      service: Name of the service.
      method: HTTP method.
      path: Path and query at the service.
      headers: Headers to forward.
      body: Body of the request.
      priority: Calls with larger values start first.
      time_left_ms: Time until the caller's deadline; 0 means none.
      repeatable: Whether the request may run more than once.
      revision: Configuration revision of the entry.
      epoch: Epoch drawn when the attempt arrived, for its claim; 0 for none.
    """

    request_key: str
    attempt: int
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    priority: int = 0
    time_left_ms: int = 0
    repeatable: bool = True
    revision: int = 0
    epoch: int = 0


@codec.register(107, _SCHEMA, "ServiceReply")
@attrs.frozen
class ServiceReply:
    """Answer of a plain service."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@codec.register(108, _SCHEMA, "Refused")
@attrs.frozen
class Refused:
    """Ends a call that the agent does not complete.

    Attributes:
      verdict: Value of `verdict.Verdict`.
      reason: Value of `verdict.Reason`.
      message: Cause of the refusal and suggested action.
      retry_after_ms: Recommended time before a retry; 0 for none.
      revision: Configuration revision of the agent.
    """

    verdict: str
    reason: str
    message: str
    retry_after_ms: int = 0
    revision: int = 0


@codec.register(109, _SCHEMA, "StoredRun")
@attrs.frozen
class StoredRun:
    """Answer of a claimed run as stored by control."""

    output: RunTokens
    end: RunEnd


@codec.register(110, _SCHEMA, "Drain")
@attrs.frozen
class Drain:
    """Drains an agent's target; the call ends with `DrainReply`.

    Attributes:
      leaving: Whether the target leaves; False cancels a drain.
    """

    leaving: bool = True


@codec.register(111, _SCHEMA, "DrainReply")
@attrs.frozen
class DrainReply:
    """State of a target after a `Drain`.

    Attributes:
      leaving: Whether the target accepts no new work.
      running: Number of requests that are still queued or running.
    """

    leaving: bool
    running: int


def to_refused(refusal: verdict.Refusal, revision: int = 0) -> Refused:
    """Returns the message that carries `refusal`."""
    return Refused(
        refusal.verdict.value,
        refusal.reason.value,
        refusal.message,
        round(refusal.retry_after_s * 1000),
        revision,
    )


def to_refusal(message: Refused) -> verdict.Refusal:
    """Returns the refusal that `message` carries.

    Values unknown to this version are read as "may have run" and "internal",
    the conservative choice.
    """
    verdicts = {entry.value: entry for entry in verdict.Verdict}
    reasons = {entry.value: entry for entry in verdict.Reason}
    return verdict.Refusal(
        verdicts.get(message.verdict, verdict.Verdict.MAY_HAVE_RUN),
        reasons.get(message.reason, verdict.Reason.INTERNAL),
        message.message,
        message.retry_after_ms / 1000,
    )
