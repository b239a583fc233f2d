"""Typed access to the fields of decoded JSON."""

from __future__ import annotations

import math
import typing

Table: typing.TypeAlias = dict[str, typing.Any]


def table(value: object) -> Table:
    """Returns a JSON object.

    Raises:
      ValueError: It is none.
    """
    if not isinstance(value, dict):
        raise ValueError("a table is missing")
    return value


def tables(read: Table, name: str, *, required: bool = True) -> list[Table]:
    """Returns a list of JSON objects.

    Raises:
      ValueError: It is none, or missing though required.
    """
    value = read.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list):
        raise ValueError(f"{name} is no list")
    return [table(one) for one in value]


def text(read: Table, name: str, default: str | None = None) -> str:
    """Returns a text.

    Raises:
      ValueError: It is none, or missing without a default.
    """
    value = read.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} is no text")
    return value


def whole(read: Table, name: str, default: int | None = None) -> int:
    """Returns a whole number.

    Raises:
      ValueError: It is none, or missing without a default.

    >>> whole({"a": 2.0}, "a")
    2
    """
    value = number(read, name, default)
    if value != int(value):
        raise ValueError(f"{name} is no whole number")
    return int(value)


def number(read: Table, name: str, default: float | None = None) -> float:
    """Returns a number.

    Raises:
      ValueError: It is none, or missing without a default.
    """
    value = read.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number")
    if not math.isfinite(value):
        raise ValueError(f"{name} is not finite")
    return value


def flag(read: Table, name: str) -> bool:
    """Returns a truth value; False if it is missing.

    Raises:
      ValueError: It is none.
    """
    value = read.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is neither true nor false")
    return value
