"""Decides whether a concurrent history is linearizable.

Implements the search of Wing and Gong with Lowe's memoization: it tries all
orders that respect real time, and visits each pair of (set of applied
operations, state) once.
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
      call: The arguments of the call.
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
    """Returns whether some sequential order explains all responses.

    Args:
      operations: The history. A call without a response may take effect at
        any time after its invocation, or never.
      initial: State at the start.
      step: Sequential model: maps a state and a call to the next state and
        the result.
    """
    history = sorted(operations, key=lambda operation: operation.invoked)
    required = sum(
        1 << i for i, operation in enumerate(history) if operation.has_response
    )
    visited: set[tuple[int, State]] = set()
    stack: list[tuple[int, State]] = [(0, initial)]
    while stack:
        applied, state = stack.pop()
        if applied & required == required:
            return True
        if (applied, state) in visited:
            continue
        visited.add((applied, state))
        for position in _candidates(history, applied):
            operation = history[position]
            next_state, result = step(state, operation.call)
            if operation.has_response and result != operation.result:
                continue
            stack.append((applied | 1 << position, next_state))
    return False


def _candidates(history: list[Operation], applied: int) -> list[int]:
    """Returns the positions of operations that may be applied next.

    An operation may follow if no other pending one returned before its
    invocation.
    """
    positions: list[int] = []
    earliest_return = math.inf
    for position, operation in enumerate(history):
        if applied >> position & 1:
            continue
        if operation.invoked > earliest_return:
            break
        positions.append(position)
        earliest_return = min(earliest_return, operation.returned)
    return [
        position
        for position in positions
        if history[position].invoked <= earliest_return
    ]
