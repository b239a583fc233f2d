from __future__ import annotations

import math

import pytest
from tests.support import linearizability

Operation = linearizability.Operation


def _register(state: int, call: int | None) -> tuple[int, object]:
    """Models a register: a number is a write, None a read."""
    if call is None:
        return state, state
    return call, "written"


def _check(*history: linearizability.Operation) -> bool:
    return linearizability.is_linearizable(history, 0, _register)


def _write(
    value: int, invoked: float, returned: float = math.inf
) -> linearizability.Operation:
    return Operation(value, invoked, returned, "written")


def _read(
    value: int, invoked: float, returned: float
) -> linearizability.Operation:
    return Operation(None, invoked, returned, value)


@pytest.mark.parametrize(
    "history",
    [
        (_write(1, 0, 1), _read(1, 2, 3)),
        (_write(1, 0, 9), _read(0, 1, 2), _read(1, 3, 4)),
        (_write(1, 0), _read(0, 1, 2), _read(1, 3, 4)),
        (_write(1, 0), _read(0, 1, 2)),
        (_write(1, 0, 5), _write(2, 0, 5), _read(2, 6, 7)),
    ],
    ids=["sequential", "overlap", "lost answer", "never", "either order"],
)
def test_linearizable_history_is_accepted(
    history: tuple[linearizability.Operation, ...],
) -> None:
    assert _check(*history)


@pytest.mark.parametrize(
    "history",
    [
        (_write(1, 0, 1), _read(0, 2, 3)),
        (_write(1, 0, 9), _read(1, 1, 2), _read(0, 3, 4)),
        (_write(1, 0), _read(1, 1, 2), _read(0, 3, 4)),
        (_read(1, 0, 1), _write(1, 2)),
        (_write(1, 0, 1), _write(2, 2, 3), _read(1, 4, 5)),
        (_write(1, 0, 5), _write(2, 0, 5), _read(2, 6, 7), _read(1, 8, 9)),
    ],
    ids=[
        "stale read",
        "step back",
        "step back after a lost answer",
        "read from the future",
        "lost write",
        "two orders at once",
    ],
)
def test_history_without_valid_order_is_rejected(
    history: tuple[linearizability.Operation, ...],
) -> None:
    assert not _check(*history)
