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
    from cactusstile.state import model

MAX_REPLY_AGE_MS = 250.0
RETRY_WITHOUT_TARGET_S = 1.0


@attrs.frozen
class Weights:
    """What a deployment values; see `state.model.Deployment`."""

    first_token: float = 1.0
    recompute: float = 1.0
    link: float = 1.0


def weights_of(fleet: model.Fleet, deployment: str) -> Weights:
    """Returns what a deployment values; the defaults for an unknown one."""
    declared = fleet.deployments.get(deployment)
    if declared is None:
        return Weights()
    return Weights(
        declared.first_token_weight,
        declared.recompute_weight,
        declared.link_weight,
    )


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
class Candidate:
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
      link_ms: Time for which its transfers occupy a limited link.
      cost: Weighted sum that options are compared by; less is better.
    """

    member: rendezvous.Member
    reservation: int
    version: str
    first_token_ms: float
    recompute_ms: float
    import_blocks: int
    link_ms: float
    cost: float = 0.0


@attrs.frozen
class Choice:
    """Options, best first, or the refusal when there is none."""

    options: tuple[Option, ...]
    refusal: verdict.Refusal | None = None


ImportTime: typing.TypeAlias = (
    "collections.abc.Callable[[rendezvous.Member, int], float]"
)


"""Milliseconds for a number of blocks between a member and a prompt's store.

For an import it covers what is already under way on the link, and is infinite
when the member cannot import.
"""


@attrs.frozen
class Kept:
    """Blocks of the prompt on a store, and what it costs to move some."""

    blocks: int
    import_time: ImportTime
    link_time: ImportTime


def never_import(member: rendezvous.Member, blocks: int) -> float:  # noqa: ARG001
    """Returns an import time that rules every import out."""
    return float("inf")


def no_link(member: rendezvous.Member, blocks: int) -> float:  # noqa: ARG001
    """Returns the link use of transfers that use no limited link."""
    return 0.0


def choose(
    probed: collections.abc.Sequence[Candidate],
    request: Request,
    weights: Weights,
    import_time: ImportTime = never_import,
    link_time: ImportTime = no_link,
    *,
    stored_blocks: int = 0,
) -> Choice:
    """Orders the probed candidates by cost.

    Args:
      probed: Candidates, the first home first; it wins among equals.
      request: The request.
      weights: Weights of its deployment.
      import_time: Time of an import, see `ImportTime`.
      link_time: Occupation of a limited link, see `ImportTime`.
      stored_blocks: Leading blocks of the prompt that its store keeps.

    Returns:
      All options that can start in time. Without any, a refusal that says
      that the request was not run, and when to come back.
    """
    current = _drop_silent(probed)
    known = Kept(stored_blocks, import_time, link_time)
    options = []
    refusals = []
    for member, reply in current:
        refusal = _refuse_unfit(reply, request)
        if refusal is not None:
            refusals.append(refusal)
            continue
        options.append(_weigh(member, reply, request, weights, known))
    options.sort(key=lambda option: option.cost)
    if options:
        return Choice(tuple(options))
    return Choice((), _summarize(refusals))


def _drop_silent(
    probed: collections.abc.Sequence[Candidate],
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
    """Returns the better of computing and importing at a member.

    What is neither kept nor resident is exported after the run, so a member
    across a limited link costs that much more either way.
    """
    prompt_blocks = request.prompt_tokens // tokens.BLOCK_TOKENS
    moved_blocks = max(kept.blocks, reply.resident_blocks)
    export_blocks = max(0, prompt_blocks - moved_blocks)
    export_ms = kept.link_time(member, export_blocks)
    compute = _compute(member, reply, export_ms)
    resident_tokens = reply.resident_blocks * tokens.BLOCK_TOKENS
    blocks = kept.blocks - reply.resident_blocks
    missing = request.prompt_tokens - resident_tokens
    if blocks <= 0 or missing <= 0:
        return _price(compute, weights)
    import_ms = kept.import_time(member, blocks)
    left = max(0.0, 1 - blocks * tokens.BLOCK_TOKENS / missing)
    rest_ms = reply.prefill_ms * left
    fetch = attrs.evolve(
        compute,
        first_token_ms=max(reply.wait_ms, import_ms) + rest_ms,
        recompute_ms=rest_ms,
        import_blocks=blocks,
        link_ms=export_ms + kept.link_time(member, blocks),
    )
    options = (_price(compute, weights), _price(fetch, weights))
    return min(options, key=lambda option: option.cost)


def _compute(
    member: rendezvous.Member, reply: messages.ProbeReply, link_ms: float
) -> Option:
    return Option(
        member,
        reply.reservation,
        reply.version,
        reply.wait_ms + reply.prefill_ms,
        reply.prefill_ms,
        import_blocks=0,
        link_ms=link_ms,
    )


def _price(option: Option, weights: Weights) -> Option:
    cost = (
        weights.first_token * option.first_token_ms
        + weights.recompute * option.recompute_ms
        + weights.link * option.link_ms
    )
    return attrs.evolve(option, cost=cost)


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
