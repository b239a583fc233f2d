"""Messages between entries and agents that carry requests.

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
    """Asks an agent what it could do for a run.

    Attributes:
      workspace: Workspace of the caller.
      deployment: Model deployment.
      adapter: "name@version" of the adapter, empty without one.
      block_keys: Chained keys of the prompt's full blocks for the version
        that the entry knows, possibly a sample from the front.
      prompt_tokens: Length of the prompt.
      max_tokens: Bound on the output.
      priority: Larger runs first.
      time_left_ms: Time until the caller's deadline; 0 means none.
      revision: Configuration revision of the entry.
      reserve: Whether to hold a place in the queue for a moment.
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
    """An agent's exact state, as far as it matters for a run.

    Attributes:
      revision: Configuration revision of the agent.
      version: Weight version that the target runs now.
      resident_blocks: Leading blocks of the prompt in accelerator memory.
      kept_blocks: Leading blocks known to lie on a store.
      queued_tokens: Prompt tokens that wait in the queue.
      running: Runs under way.
      slots: Runs that the target takes at once.
      wait_ms: Estimated wait in the queue.
      prefill_ms: Estimated time to compute what is not resident.
      leaving: Whether the target takes no new work.
      reservation: Number of the reservation; 0 without one.
      block_bytes: Size of a KV block of the engine; 0 if unknown.
    """

    revision: int
    version: str
    resident_blocks: int
    kept_blocks: int
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
    """Asks an agent to run a prompt.

    Attributes:
      request_key: Identity of the request over all attempts, within its
        workspace; the caller's idempotency key when there is one.
      attempt: Number of this attempt, from 0.
      workspace: Workspace of the caller.
      deployment: Model deployment.
      version: Required weight version; empty accepts the current one.
      adapter: "name@version" of the adapter, empty without one.
      tokens: Prompt.
      generated: Output tokens of an earlier attempt, to be continued.
      max_tokens: Bound on the output, including `generated`.
      priority: Larger runs first.
      time_left_ms: Time until the caller's deadline; 0 means none.
      repeatable: Whether the request may run more than once.
      revision: Configuration revision of the entry.
      reservation: Number of a reservation; 0 without one.
      prefix_key: Key that places the prompt, see `routing.prefix`; empty
        when nothing of it is to be kept.
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


@codec.register(103, _SCHEMA, "Attach")
@attrs.frozen
class Attach:
    """Resumes the stream of a run that the agent still knows.

    A run that no open call follows any more is cancelled after a moment. An
    entry that found a gap opens the attach before it cancels the older call.

    Attributes:
      request_key: Key of the run.
      workspace: Workspace of the caller.
      next_index: Index of the first output token that is missing.
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
      text: Their text.
    """

    first_index: int
    tokens: tuple[int, ...]
    text: str


@codec.register(105, _SCHEMA, "RunEnd")
@attrs.frozen
class RunEnd:
    """Ends a run that completed.

    Attributes:
      count: Output tokens of the whole run, including continued ones.
      finish_reason: "stop" or "length".
      version: Weight version that the run used.
      prompt_tokens: Length of the prompt.
      resident_tokens: Prompt tokens found in accelerator memory.
      imported_tokens: Prompt tokens imported from kept blocks.
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
    """Asks an agent to pass a request to its plain service.

    Attributes:
      request_key: Identity of the request over all attempts.
      attempt: Number of this attempt, from 0.
      workspace: Workspace of the caller.
      service: Name of the service.
      method: HTTP method.
      path: Path and query at the service.
      headers: Headers to pass on.
      body: Body of the request.
      priority: Larger calls first.
      time_left_ms: Time until the caller's deadline; 0 means none.
      repeatable: Whether the request may run more than once.
      revision: Configuration revision of the entry.
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
      message: What happened and what to do.
      retry_after_ms: Time after which a retry is sensible; 0 without one.
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
    """Answer of a claimed run as control keeps it."""

    output: RunTokens
    end: RunEnd


@codec.register(110, _SCHEMA, "Drain")
@attrs.frozen
class Drain:
    """Tells an agent that its target leaves; ends with `DrainReply`.

    Attributes:
      leaving: Whether the target leaves; False takes a drain back.
    """

    leaving: bool = True


@codec.register(111, _SCHEMA, "DrainReply")
@attrs.frozen
class DrainReply:
    """State of a target that leaves.

    Attributes:
      leaving: Whether the target takes no new work.
      running: Requests that are still queued or under way.
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

    Values that this version does not know read as "may have run" and
    "internal", the careful choice.
    """
    verdicts = {entry.value: entry for entry in verdict.Verdict}
    reasons = {entry.value: entry for entry in verdict.Reason}
    return verdict.Refusal(
        verdicts.get(message.verdict, verdict.Verdict.MAY_HAVE_RUN),
        reasons.get(message.reason, verdict.Reason.INTERNAL),
        message.message,
        message.retry_after_ms / 1000,
    )
