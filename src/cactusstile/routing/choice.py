"""Choice among probed targets; pure functions.

The cost of an option is a sum of milliseconds, weighted by what the
deployment values: the expected time to first token, the prompt work that is
computed again, and the link use of an import. Replies of the agents are exact;
an old or missing reply says nothing and takes its target out of the choice.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile import tokens
from cactusstile import verdict

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.agent import messages
    from cactusstile.routing import rendezvous

MAX_REPLY_AGE_MS = 250.0
RETRY_WITHOUT_TARGET_S = 1.0


@attrs.frozen
class Weights:
    """What a deployment values; see `state.model.Deployment`."""

    first_token: float = 1.0
    recompute: float = 1.0
    link: float = 1.0


@attrs.frozen
class Request:
    """What the choice must know of a request.

    Attributes:
      prompt_tokens: Length of the prompt.
      version: Weight version that the run must use; empty accepts any. Set
        for a run that continues output of an earlier attempt.
      time_left_ms: Time until the caller's deadline; 0 means none.
    """

    prompt_tokens: int
    version: str = ""
    time_left_ms: float = 0.0


@attrs.frozen
class Probed:
    """A candidate with what its agent answered.

    Attributes:
      member: The candidate.
      reply: Answer of its agent; None when none came in time.
      age_ms: Time since the reply arrived.
    """

    member: rendezvous.Member
    reply: messages.ProbeReply | None
    age_ms: float = 0.0


@attrs.frozen
class Option:
    """A way to run the request.

    Attributes:
      member: Target that would run it.
      reservation: Place held at the target; 0 without one.
      version: Weight version of the target.
      first_token_ms: Expected time to first token.
      recompute_ms: Part of it spent on computing the prompt.
      import_blocks: Kept blocks to import first.
      cost: Weighted sum that options are compared by; less is better.
    """

    member: rendezvous.Member
    reservation: int
    version: str
    first_token_ms: float
    recompute_ms: float
    import_blocks: int
    cost: float


@attrs.frozen
class Choice:
    """Options, best first, or the refusal when there is none."""

    options: tuple[Option, ...]
    refusal: verdict.Refusal | None = None


ImportTime: typing.TypeAlias = (
    "collections.abc.Callable[[rendezvous.Member, int], float]"
)


@attrs.frozen
class Kept:
    """Blocks of the prompt on a store, and the time to import some."""

    blocks: int
    import_time: ImportTime


def never_import(member: rendezvous.Member, blocks: int) -> float:  # noqa: ARG001
    """Returns an import time that rules every import out."""
    return float("inf")


def choose(
    probed: collections.abc.Sequence[Probed],
    request: Request,
    weights: Weights,
    import_time: ImportTime = never_import,
) -> Choice:
    """Orders the probed candidates by cost.

    Args:
      probed: Candidates, the first home first; it wins among equals.
      request: The request.
      weights: Weights of its deployment.
      import_time: Gives the milliseconds to import a number of blocks at a
        member, with what is already under way on its link; infinite when it
        cannot.

    Returns:
      All options that can start in time. Without any, a refusal that says
      that the request was not run, and when to come back.
    """
    current = _drop_silent(probed)
    kept_blocks = max((reply.kept_blocks for _, reply in current), default=0)
    options = []
    refusals = []
    for member, reply in current:
        refusal = _refuse_unfit(reply, request)
        if refusal is not None:
            refusals.append(refusal)
            continue
        known = Kept(kept_blocks, import_time)
        options.append(_weigh(member, reply, request, weights, known))
    options.sort(key=lambda option: option.cost)
    if options:
        return Choice(tuple(options))
    return Choice((), _summarize(refusals))


def _drop_silent(
    probed: collections.abc.Sequence[Probed],
) -> list[tuple[rendezvous.Member, messages.ProbeReply]]:
    return [
        (entry.member, entry.reply)
        for entry in probed
        if entry.reply is not None and entry.age_ms <= MAX_REPLY_AGE_MS
    ]


def _weigh(
    member: rendezvous.Member,
    reply: messages.ProbeReply,
    request: Request,
    weights: Weights,
    kept: Kept,
) -> Option:
    compute = _build_option(member, reply, weights, reply.prefill_ms)
    blocks = kept.blocks - reply.resident_blocks
    missing = (
        request.prompt_tokens - reply.resident_blocks * tokens.BLOCK_TOKENS
    )
    if blocks <= 0 or missing <= 0:
        return compute
    import_ms = kept.import_time(member, blocks)
    if import_ms == float("inf"):
        return compute
    left = max(0.0, 1 - blocks * tokens.BLOCK_TOKENS / missing)
    fetch = _build_option(
        member,
        reply,
        weights,
        reply.prefill_ms * left,
        import_blocks=blocks,
        import_ms=import_ms,
    )
    return fetch if fetch.cost < compute.cost else compute


def _build_option(
    member: rendezvous.Member,
    reply: messages.ProbeReply,
    weights: Weights,
    recompute_ms: float,
    *,
    import_blocks: int = 0,
    import_ms: float = 0.0,
) -> Option:
    first_token_ms = max(reply.wait_ms, import_ms) + recompute_ms
    cost = (
        weights.first_token * first_token_ms
        + weights.recompute * recompute_ms
        + weights.link * import_ms
    )
    return Option(
        member,
        reply.reservation,
        reply.version,
        first_token_ms,
        recompute_ms,
        import_blocks,
        cost,
    )


def _refuse_unfit(
    reply: messages.ProbeReply, request: Request
) -> verdict.Refusal | None:
    if reply.leaving:
        return _refusal(
            verdict.Reason.TARGET_LEAVING,
            "the target is leaving",
            RETRY_WITHOUT_TARGET_S,
        )
    if request.version and reply.version != request.version:
        return _refusal(
            verdict.Reason.VERSION_CHANGED,
            f"the run needs weight version {request.version}, which no probed "
            "target runs; start it anew",
            0.0,
        )
    if request.time_left_ms and reply.wait_ms >= request.time_left_ms:
        excess_s = (reply.wait_ms - request.time_left_ms) / 1000
        return _refusal(
            verdict.Reason.OVERLOADED,
            "no target can start before the deadline",
            max(excess_s, RETRY_WITHOUT_TARGET_S),
        )
    return None


def _refusal(
    reason: verdict.Reason, message: str, retry_after_s: float
) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN, reason, message, retry_after_s
    )


def _summarize(refusals: list[verdict.Refusal]) -> verdict.Refusal:
    """Returns the refusal that offers the earliest retry."""
    retryable = [refusal for refusal in refusals if refusal.retry_after_s > 0]
    if retryable:
        return min(retryable, key=lambda refusal: refusal.retry_after_s)
    if refusals:
        return refusals[0]
    return _refusal(
        verdict.Reason.NO_TARGET,
        "no target of the deployment answers",
        RETRY_WITHOUT_TARGET_S,
    )
