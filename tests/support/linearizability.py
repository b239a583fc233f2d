"""Decides whether a concurrent history is linearizable.

The search of Wing and Gong with the memory of Lowe: it tries all orders that
respect real time, and visits no pair of (done operations, state) twice.
"""

from __future__ import annotations

import math
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    State = collections.abc.Hashable
    Step = collections.abc.Callable[
        [typing.Any, typing.Any], tuple[State, object]
    ]


@attrs.frozen
class Operation:
    """One call by one client.

    Attributes:
      call: What was asked.
      invoked: Time of the invocation.
      returned: Time of the response; infinite if there was none.
      result: The response; ignored if there was none.
    """

    call: typing.Any
    invoked: float
    returned: float = math.inf
    result: typing.Any = None

    @property
    def has_response(self) -> bool:
        """Whether a response arrived."""
        return self.returned != math.inf


def is_linearizable(
    operations: collections.abc.Iterable[Operation],
    initial: State,
    step: Step,
) -> bool:
    """Returns whether some order explains all responses.

    Args:
      operations: The history. A call without response may have taken effect
        at any later time, or never.
      initial: State at the start.
      step: Takes a state and a call; returns the next state and the result.
    """
    history = sorted(operations, key=lambda entry: entry.invoked)
    wanted = sum(
        1 << i for i, entry in enumerate(history) if entry.has_response
    )
    seen: set[tuple[int, State]] = set()
    stack: list[tuple[int, State]] = [(0, initial)]
    while stack:
        done, state = stack.pop()
        if done & wanted == wanted:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        for position in _candidates(history, done):
            entry = history[position]
            following, result = step(state, entry.call)
            if entry.has_response and result != entry.result:
                continue
            stack.append((done | 1 << position, following))
    return False


def _candidates(history: list[Operation], done: int) -> list[int]:
    """Returns operations that no other pending one precedes."""
    found: list[int] = []
    earliest = math.inf
    for position, entry in enumerate(history):
        if done >> position & 1:
            continue
        if entry.invoked > earliest:
            break
        found.append(position)
        earliest = min(earliest, entry.returned)
    return [
        position for position in found if history[position].invoked <= earliest
    ]
