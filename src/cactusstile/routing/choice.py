"""Cost-based choice among probed targets, as pure functions.

The cost of an option is a sum of times in milliseconds, weighted per
deployment: the expected time to first token, the time spent on recomputing the
prompt, and the link occupancy of the transfers. Replies of agents are exact; a
target whose reply is missing or outdated is excluded.
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
NO_TARGET_RETRY_S = 1.0


@attrs.frozen
class Weights:
    """Cost weights of a deployment, see `state.model.Deployment`.

    Attributes:
      first_token: Weight of the expected time to first token.
      recompute: Weight of the time spent on recomputing the prompt.
      link: Weight of the link occupancy.
    """

    first_token: float = 1.0
    recompute: float = 1.0
    link: float = 1.0


def weights_of(fleet: model.Fleet, deployment: str) -> Weights:
    """Returns the weights of a deployment; defaults if it is unknown."""
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
    """Properties of a request that the choice depends on.

    Attributes:
      prompt_tokens: Length of the prompt in tokens.
      version: Weight version that the run must use; empty accepts any. Set
        for a run that continues the output of an earlier attempt.
      time_left_ms: Time until the caller's deadline; 0 means no deadline.
    """

    prompt_tokens: int
    version: str = ""
    time_left_ms: float = 0.0


@attrs.frozen
class Candidate:
    """A probed target with the reply of its agent.

    Attributes:
      member: The target.
      reply: Reply of its agent; None if none arrived in time.
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
      reservation: Identifier of the reservation at the target; 0 if there is
        none.
      version: Weight version of the target.
      first_token_ms: Expected time to first token.
      recompute_ms: Time spent on computing the prompt, included in
        `first_token_ms`.
      import_blocks: Stored blocks to import before the run.
      link_ms: Time for which the transfers occupy a limited link.
      cost: Weighted sum by which options are compared; lower is better.
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
    """Result of the choice.

    Attributes:
      options: Options by ascending cost.
      refusal: Refusal if there are no options, else None.
    """

    options: tuple[Option, ...]
    refusal: verdict.Refusal | None = None


TransferTime: typing.TypeAlias = (
    "collections.abc.Callable[[rendezvous.Member, int], float]"
)


"""Transfer time in ms of a number of blocks between a member and the store.

For an import the time includes transfers that already occupy the link, and is
infinite if the member cannot import.
"""


@attrs.frozen
class StoredPrefix:
    """Stored blocks of the prompt and the time to transfer them.

    Attributes:
      blocks: Leading blocks of the prompt that the store holds.
      import_time: Time of an import.
      link_time: Occupancy of a limited link.
    """

    blocks: int
    import_time: TransferTime
    link_time: TransferTime


def infinite_time(member: rendezvous.Member, blocks: int) -> float:  # noqa: ARG001
    """Returns infinity, so that no import is ever chosen."""
    return float("inf")


def zero_time(member: rendezvous.Member, blocks: int) -> float:  # noqa: ARG001
    """Returns 0, for transfers that use no limited link."""
    return 0.0


def choose(
    probed: collections.abc.Sequence[Candidate],
    request: Request,
    weights: Weights,
    import_time: TransferTime = infinite_time,
    link_time: TransferTime = zero_time,
    *,
    stored_blocks: int = 0,
) -> Choice:
    """Orders the probed candidates by cost.

    Args:
      probed: Candidates in rank order; at equal cost the first one wins.
      request: The request.
      weights: Weights of its deployment.
      import_time: Time of an import, see `TransferTime`.
      link_time: Occupancy of a limited link, see `TransferTime`.
      stored_blocks: Leading blocks of the prompt that its store holds.

    Returns:
      All options that can start in time. If there are none, a refusal with
      verdict `NOT_RUN` and the time after which to retry.
    """
    current = _current_replies(probed)
    stored_prefix = StoredPrefix(stored_blocks, import_time, link_time)
    options = []
    refusals = []
    for member, reply in current:
        refusal = _find_refusal(reply, request)
        if refusal is not None:
            refusals.append(refusal)
            continue
        options.append(
            _cheaper_option(member, reply, request, weights, stored_prefix)
        )
    options.sort(key=lambda option: option.cost)
    if options:
        return Choice(tuple(options))
    return Choice((), _earliest_retry(refusals))


def _current_replies(
    probed: collections.abc.Sequence[Candidate],
) -> list[tuple[rendezvous.Member, messages.ProbeReply]]:
    return [
        (entry.member, entry.reply)
        for entry in probed
        if entry.reply is not None and entry.age_ms <= MAX_REPLY_AGE_MS
    ]


def _cheaper_option(
    member: rendezvous.Member,
    reply: messages.ProbeReply,
    request: Request,
    weights: Weights,
    stored: StoredPrefix,
) -> Option:
    """Returns the cheaper of recomputing and importing at a member.

    Blocks that are neither stored nor resident are exported after the run, so
    the cost of a member behind a limited link includes their transfer in
    either case.
    """
    prompt_blocks = request.prompt_tokens // tokens.BLOCK_TOKENS
    available_blocks = max(stored.blocks, reply.resident_blocks)
    export_blocks = max(0, prompt_blocks - available_blocks)
    export_ms = stored.link_time(member, export_blocks)
    compute_option = _compute(member, reply, export_ms)
    resident_tokens = reply.resident_blocks * tokens.BLOCK_TOKENS
    blocks = stored.blocks - reply.resident_blocks
    missing = request.prompt_tokens - resident_tokens
    if blocks <= 0 or missing <= 0:
        return _with_cost(compute_option, weights)
    import_ms = stored.import_time(member, blocks)
    remaining_fraction = max(0.0, 1 - blocks * tokens.BLOCK_TOKENS / missing)
    remaining_ms = reply.prefill_ms * remaining_fraction
    import_option = attrs.evolve(
        compute_option,
        first_token_ms=max(reply.wait_ms, import_ms) + remaining_ms,
        recompute_ms=remaining_ms,
        import_blocks=blocks,
        link_ms=export_ms + stored.link_time(member, blocks),
    )
    options = (
        _with_cost(compute_option, weights),
        _with_cost(import_option, weights),
    )
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


def _with_cost(option: Option, weights: Weights) -> Option:
    cost = (
        weights.first_token * option.first_token_ms
        + weights.recompute * option.recompute_ms
        + weights.link * option.link_ms
    )
    return attrs.evolve(option, cost=cost)


def _find_refusal(
    reply: messages.ProbeReply, request: Request
) -> verdict.Refusal | None:
    if reply.leaving:
        return _refusal(
            verdict.Reason.TARGET_LEAVING,
            "the target is leaving",
            NO_TARGET_RETRY_S,
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
            max(excess_s, NO_TARGET_RETRY_S),
        )
    return None


def _refusal(
    reason: verdict.Reason, message: str, retry_after_s: float
) -> verdict.Refusal:
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN, reason, message, retry_after_s
    )


def _earliest_retry(refusals: list[verdict.Refusal]) -> verdict.Refusal:
    """Returns the refusal with the earliest retry time."""
    retryable = [refusal for refusal in refusals if refusal.retry_after_s > 0]
    if retryable:
        return min(retryable, key=lambda refusal: refusal.retry_after_s)
    if refusals:
        return refusals[0]
    return _refusal(
        verdict.Reason.NO_TARGET,
        "no target of the deployment answers",
        NO_TARGET_RETRY_S,
    )
