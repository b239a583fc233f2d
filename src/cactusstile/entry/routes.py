"""Interfaces through which the dispatcher selects targets."""

from __future__ import annotations

import collections.abc
import typing

import attrs

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.entry import calls
from cactusstile.state import model
from cactusstile.store import client as store_client


@attrs.frozen
class ProbedTarget:
    """A candidate target with the probe reply of its agent."""

    target: model.Target
    reply: messages.ProbeReply


@attrs.frozen
class Placement:
    """The target chosen for a prompt.

    Attributes:
      target: Target that runs the prompt.
      version: Weight version of the target.
      reservation: ID of the reservation at the target; 0 if there is none.
    """

    target: model.Target
    version: str
    reservation: int = 0


Candidates: typing.TypeAlias = collections.abc.Callable[
    [
        calls.PromptCall,
        collections.abc.Collection[str],
        collections.abc.Mapping[str, int],
    ],
    collections.abc.Sequence[model.Target],
]
FindStoredBlocks: typing.TypeAlias = collections.abc.Callable[
    [calls.PromptCall, str, collections.abc.Sequence[bytes]],
    collections.abc.Awaitable[store_client.StoredPrefix],
]
Choose: typing.TypeAlias = collections.abc.Callable[
    [
        calls.PromptCall,
        str,
        collections.abc.Sequence[ProbedTarget],
        store_client.StoredPrefix,
    ],
    Placement,
]
RecordArrival: typing.TypeAlias = collections.abc.Callable[
    [calls.PromptCall], None
]
RankServiceTargets: typing.TypeAlias = collections.abc.Callable[
    [
        calls.ServiceRequest,
        collections.abc.Collection[str],
        collections.abc.Mapping[str, int],
    ],
    collections.abc.Sequence[model.Target],
]


@attrs.frozen
class Routes:
    """Functions that select the targets of requests.

    Attributes:
      candidates: Returns the targets to probe for a prompt, best first.
        Arguments are the prompt, the names of excluded targets, and the number
        of running requests of the prompt's workspace by target.
      find_stored_blocks: Returns what a store holds of a prompt. Arguments are
        the prompt, the weight version, and the keys of the leading blocks.
      choose: Returns a placement on one of the probed targets. Arguments are
        the prompt, the required weight version (empty for any), the probed
        targets, and what a store holds. Raises RefusedError.
      rank_service_targets: Returns the targets of a service, best first.
        Arguments are the call, the names of excluded targets, and the number
        of running requests of all workspaces by target.
      record_arrival: Called once for each prompt, before its first attempt.
      reserve: Whether probes make a short-lived reservation.
    """

    candidates: Candidates
    find_stored_blocks: FindStoredBlocks
    choose: Choose
    rank_service_targets: RankServiceTargets
    record_arrival: RecordArrival = lambda _: None
    reserve: bool = False


def leading_block_keys(
    call: calls.PromptCall, version: str, max_keys: int
) -> tuple[bytes, ...]:
    """Returns the keys of at most `max_keys` leading blocks of a prompt."""
    scope = tokens.Scope(call.workspace, call.deployment, version, call.adapter)
    leading = call.tokens[: max_keys * tokens.BLOCK_TOKENS]
    return tuple(tokens.block_keys(scope, leading))
