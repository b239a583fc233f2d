"""Typed access to the fields of decoded JSON objects."""

from __future__ import annotations

import typing

from cactusstile.transport import address as addresses

JsonObject: typing.TypeAlias = dict[str, typing.Any]

# Greatest number, and greatest count, that the system's own messages carry.
MAX_NUMBER = 2**63 - 1
MAX_COUNT = 2**32 - 1


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
      ValueError: The field is of another type, holds half a surrogate pair, or
        is missing without a default.
    """
    return check_text(parent.get(name, default), name)


def check_text(value: object, name: str) -> str:
    """Returns a value that has to be a string with an encoding in UTF-8.

    Raises:
      ValueError: The value is of another type, or holds half a surrogate pair.
    """
    if not isinstance(value, str):
        raise ValueError(f"{name} is no text")
    try:
        value.encode()
    except UnicodeEncodeError:
        raise ValueError(f"{name} holds half a surrogate pair") from None
    return value


def label(parent: JsonObject, name: str, default: str | None = None) -> str:
    """Returns a text that can be the value of an HTTP header field.

    Raises:
      ValueError: As for `text`, or a header field cannot hold the text.
    """
    value = text(parent, name, default)
    if not value.isprintable() or value != value.strip():
        raise ValueError(f"{name} is no printable text")
    return value


def address(parent: JsonObject, name: str) -> addresses.Address:
    """Returns a field that has to be an IP number and a port.

    Raises:
      ValueError: The field is of another type, malformed, or names a scope,
        which has a meaning only at its writer.
    """
    value = label(parent, name)
    if "%" in value:
        raise ValueError(f"{name} names a scope")
    return addresses.parse(value)


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
    return [check_text(item, name) for item in value]


def integer(
    parent: JsonObject,
    name: str,
    default: int | None = None,
    *,
    low: int = -MAX_NUMBER,
    high: int = MAX_NUMBER,
) -> int:
    """Returns a field that has to be an integer from `low` to `high`.

    Raises:
      ValueError: The field is of another type, out of range, or missing without
        a default.

    >>> integer({"a": 2.0}, "a")
    2
    """
    value = number(parent, name, default)
    if value != int(value):
        raise ValueError(f"{name} is no whole number")
    if not low <= value <= high:
        raise ValueError(f"{name} is not from {low} to {high}")
    return int(value)


def number(
    parent: JsonObject, name: str, default: float | None = None
) -> float:
    """Returns a field that has to be a number of at most `MAX_NUMBER`.

    Raises:
      ValueError: The field is of another type, not finite, out of range, or
        missing without a default.
    """
    value = parent.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{name} is no number")
    if not -MAX_NUMBER <= value <= MAX_NUMBER:
        raise ValueError(f"{name} is out of range")
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
