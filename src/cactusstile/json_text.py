"""Reads JSON that comes from outside, by one rule for all of it."""

from __future__ import annotations

import json
import typing


def load_document(document: bytes) -> object:
    """Returns the value of a JSON document of a caller or an operator.

    Raises:
      ValueError: The document is not JSON in UTF-8.
      RecursionError: It nests too deeply.

    >>> load_document(b'{"a": 1}')
    {'a': 1}
    """
    text = document.decode("utf-8-sig")
    return json.loads(text, parse_constant=_refuse_constant)


def load_answer(document: bytes) -> object:
    """Returns the value of a JSON answer of the platform or of a target.

    Names in it may come from other writers: bytes that are not UTF-8 are
    replaced, so that one such name does not hide the rest.

    Raises:
      ValueError: The answer is not JSON.
      RecursionError: It nests too deeply.

    >>> load_answer(b'{"a": 1}')
    {'a': 1}
    """
    return json.loads(document.decode("utf-8-sig", "replace"))


def _refuse_constant(name: str) -> typing.NoReturn:
    """Refuses NaN and infinite numbers, which are not JSON."""
    raise ValueError(f"{name} is not JSON")
