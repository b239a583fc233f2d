"""Typed access to the fields of decoded JSON objects."""

from __future__ import annotations

import math
import typing

JsonObject: typing.TypeAlias = dict[str, typing.Any]


def json_object(value: object) -> JsonObject:
    """Returns a value that has to be a JSON object.

    Raises:
      ValueError: The value is not a JSON object.
    """
    if not isinstance(value, dict):
        raise ValueError("a table is missing")
    return value


def json_objects(
    parent: JsonObject, name: str, *, required: bool = True
) -> list[JsonObject]:
    """Returns a field that has to be a list of JSON objects.

    Raises:
      ValueError: The field is of another type, or missing though required.
    """
    value = parent.get(name)
    if value is None and not required:
        return []
    if not isinstance(value, list):
        raise ValueError(f"{name} is no list")
    return [json_object(item) for item in value]


def text(parent: JsonObject, name: str, default: str | None = None) -> str:
    """Returns a field that has to be a string.

    Raises:
      ValueError: The field is of another type, or missing without a default.
    """
    value = parent.get(name, default)
    if not isinstance(value, str):
        raise ValueError(f"{name} is no text")
    return value


def texts(parent: JsonObject, name: str) -> list[str]:
    """Returns a field that has to be a list of strings; empty if missing.

    Raises:
      ValueError: The field is of another type.

    >>> texts({"a": ["b"]}, "a"), texts({}, "a")
    (['b'], [])
    """
    value = parent.get(name, [])
    if not isinstance(value, list):
        raise ValueError(f"{name} is no list")
    for item in value:
        if not isinstance(item, str):
            raise ValueError(f"{name} contains a value that is no text")
    return value


def integer(parent: JsonObject, name: str, default: int | None = None) -> int:
    """Returns a field that has to be an integer.

    Raises:
      ValueError: The field is of another type, or missing without a default.

    >>> integer({"a": 2.0}, "a")
    2
    """
    value = number(parent, name, default)
    if value != int(value):
        raise ValueError(f"{name} is no whole number")
    return int(value)


def number(
    parent: JsonObject, name: str, default: float | None = None
) -> float:
    """Returns a field that has to be a finite number.

    Raises:
      ValueError: The field is of another type, or missing without a default.
    """
    value = parent.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number")
    if not math.isfinite(value):
        raise ValueError(f"{name} is not finite")
    return value


def boolean(parent: JsonObject, name: str) -> bool:
    """Returns a field that has to be a Boolean; False if it is missing.

    Raises:
      ValueError: The field is of another type.
    """
    value = parent.get(name, False)
    if not isinstance(value, bool):
        raise ValueError(f"{name} is neither true nor false")
    return value
