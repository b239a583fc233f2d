"""Choice of targets, as closures that the daemon is given."""

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
    [
        calls.PromptCall,
        collections.abc.Collection[str],
        collections.abc.Mapping[str, int],
    ],
    collections.abc.Sequence[model.Target],
]
FindKept: typing.TypeAlias = collections.abc.Callable[
    [calls.PromptCall, str, collections.abc.Sequence[bytes]],
    collections.abc.Awaitable[store_client.StoredPrefix],
]
Choose: typing.TypeAlias = collections.abc.Callable[
    [
        calls.PromptCall,
        str,
        collections.abc.Sequence[Probed],
        store_client.StoredPrefix,
    ],
    Placement,
]
NoteArrival: typing.TypeAlias = collections.abc.Callable[
    [calls.PromptCall], None
]
ServiceOrder: typing.TypeAlias = collections.abc.Callable[
    [
        calls.ServiceRequest,
        collections.abc.Collection[str],
        collections.abc.Mapping[str, int],
    ],
    collections.abc.Sequence[model.Target],
]


@attrs.frozen
class Routes:
    """Decisions on where requests go.

    Attributes:
      candidates: Returns the targets to probe for a call, best first, none
        of the excluded names among them; sees the requests that this entry
        has under way for the call's workspace, by target.
      find_kept: Returns what a store keeps of a prompt, given the weight
        version and the keys of its leading blocks.
      choose: Returns the placement among the probed, running on the given
        weight version unless that is empty; raises RefusedError.
      service_order: Returns the targets of a service, best first; otherwise
        like `candidates`, but sees the requests of all workspaces.
      note_arrival: Called once for each prompt, before its first attempt.
      reserve: Whether probes hold a place for a moment.
    """

    candidates: Candidates
    find_kept: FindKept
    choose: Choose
    service_order: ServiceOrder
    note_arrival: NoteArrival = lambda _: None
    reserve: bool = False


def probe_keys(
    call: calls.PromptCall, version: str, max_keys: int
) -> tuple[bytes, ...]:
    """Returns the keys of the prompt's leading blocks, at most `max_keys`."""
    scope = tokens.Scope(call.workspace, call.deployment, version, call.adapter)
    leading = call.tokens[: max_keys * tokens.BLOCK_TOKENS]
    return tuple(tokens.block_keys(scope, leading))
