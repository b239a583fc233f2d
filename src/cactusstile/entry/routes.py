"""Choice of targets, as closures that the daemon is given."""

from __future__ import annotations

import collections.abc
import random
import typing

import attrs

from cactusstile import tokens
from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.entry import calls
from cactusstile.state import model

MAX_CANDIDATES = 3


@attrs.frozen
class Probed:
    """A candidate with the answer of its agent."""

    target: model.Target
    reply: messages.ProbeReply


@attrs.frozen
class Placement:
    """Where to run a prompt.

    Attributes:
      target: Target that runs it.
      version: Weight version of the target.
      reservation: Place held at the target; 0 without one.
    """

    target: model.Target
    version: str
    reservation: int = 0


Candidates: typing.TypeAlias = collections.abc.Callable[
    [calls.PromptCall, tuple[bytes, ...], collections.abc.Collection[str]],
    collections.abc.Sequence[model.Target],
]
Choose: typing.TypeAlias = collections.abc.Callable[
    [calls.PromptCall, str, collections.abc.Sequence[Probed]], Placement
]
ServiceOrder: typing.TypeAlias = collections.abc.Callable[
    [calls.ServiceRequest, collections.abc.Collection[str]],
    collections.abc.Sequence[model.Target],
]


@attrs.frozen
class Routes:
    """Decisions on where requests go.

    Attributes:
      candidates: Returns the targets to probe for a call with these block
        keys, none of the excluded names among them.
      choose: Returns the placement among the probed, running on the given
        weight version unless that is empty; raises RefusedError.
      service_order: Returns the targets of a service, best first.
      reserve: Whether probes hold a place for a moment.
    """

    candidates: Candidates
    choose: Choose
    service_order: ServiceOrder
    reserve: bool = False


def build_simple(
    find_fleet: collections.abc.Callable[[], model.Fleet],
) -> Routes:
    """Returns routes by shortest wait among random candidates."""

    def candidates(
        call: calls.PromptCall,
        _keys: tuple[bytes, ...],
        excluded: collections.abc.Collection[str],
    ) -> list[model.Target]:
        return _sample(find_fleet(), call.deployment, excluded)

    def service_order(
        request: calls.ServiceRequest,
        excluded: collections.abc.Collection[str],
    ) -> list[model.Target]:
        return _sample(find_fleet(), request.service, excluded)

    return Routes(candidates, choose_shortest, service_order)


def choose_shortest(
    call: calls.PromptCall,
    version: str,
    probed: collections.abc.Sequence[Probed],
) -> Placement:
    """Returns the placement with the shortest time to first token.

    Raises:
      RefusedError: If no candidate can start the run in time.
    """
    fit = [
        entry
        for entry in probed
        if not entry.reply.leaving and version in ("", entry.reply.version)
    ]
    if not fit:
        raise verdict.refuse(
            verdict.Reason.NO_TARGET,
            "no probed target takes this run now",
            retry_after_s=1.0,
        )
    best = min(fit, key=_first_token_ms)
    left_ms = calls.time_left_ms(call.deadline_s)
    wait_ms = _first_token_ms(best)
    if 0 < left_ms < wait_ms:
        raise verdict.refuse(
            verdict.Reason.DEADLINE_EXCEEDED,
            f"the first token would take {wait_ms} ms, {left_ms} ms are left",
            retry_after_s=best.reply.wait_ms / 1000,
        )
    reply = best.reply
    return Placement(best.target, reply.version, reply.reservation)


def _first_token_ms(probed: Probed) -> int:
    return probed.reply.wait_ms + probed.reply.prefill_ms


def _sample(
    fleet: model.Fleet,
    serves: str,
    excluded: collections.abc.Collection[str],
) -> list[model.Target]:
    left = [
        target
        for target in fleet.targets_of(serves)
        if target.name not in excluded
    ]
    random.shuffle(left)
    return left[:MAX_CANDIDATES]


def probe_keys(
    call: calls.PromptCall, version: str, max_keys: int
) -> tuple[bytes, ...]:
    """Returns the keys of the prompt's leading blocks, at most `max_keys`."""
    scope = tokens.Scope(call.workspace, call.deployment, version, call.adapter)
    leading = call.tokens[: max_keys * tokens.BLOCK_TOKENS]
    return tuple(tokens.block_keys(scope, leading))
