"""Parsing of JSON bodies with bounds on nesting depth and value count."""

from __future__ import annotations

import json
import re
import typing

from cactusstile import json_text
from cactusstile import verdict

MAX_NESTING = 32
MAX_VALUES = 300_000
_STRINGS = re.compile(rb'"(?:[^"\\]|\\.)*"', re.DOTALL)
_BRACKETS = re.compile(rb"[\[\]{}]")


def parse_object(data: bytes) -> dict[str, typing.Any]:
    """Returns the JSON object in `data`.

    Raises:
      RefusedError: If `data` is not a JSON object or exceeds the bounds.

    >>> parse_object(b'{"a": 1}')
    {'a': 1}
    """
    _check_bounds(data)
    try:
        value = json_text.load_document(data)
    except (ValueError, RecursionError) as error:
        reason = str(error) if isinstance(error, json.JSONDecodeError) else ""
        raise _bad_request(
            f"the body is not valid JSON; {reason}".rstrip("; ")
        ) from None
    if not isinstance(value, dict):
        raise _bad_request("the body must be a JSON object")
    return value


def _check_bounds(data: bytes) -> None:
    values = data.count(b",") + data.count(b"{") + data.count(b"[")
    if values <= MAX_NESTING:
        return
    without_strings = _STRINGS.sub(b"", data)
    values = (
        without_strings.count(b",")
        + without_strings.count(b"{")
        + without_strings.count(b"[")
    )
    if values > MAX_VALUES:
        raise _bad_request(f"the body holds more than {MAX_VALUES} values")
    depth = 0
    for bracket in _BRACKETS.findall(without_strings):
        depth += 1 if bracket in b"[{" else -1
        if depth > MAX_NESTING:
            raise _bad_request(
                f"the body nests deeper than {MAX_NESTING} levels"
            )


def _bad_request(message: str) -> verdict.RefusedError:
    return verdict.refuse(verdict.Reason.BAD_REQUEST, message)
