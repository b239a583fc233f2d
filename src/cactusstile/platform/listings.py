"""Decodes the platform's list of targets and the reports of targets."""

from __future__ import annotations

import attrs

from cactusstile import json_text
from cactusstile.platform import fields
from cactusstile.sites import model

# Bounds of an entry, so that thousands of them fit into one message: length of
# each name in characters, and count of the models.
_MAX_NAME_LENGTH = 500
_MAX_MODELS = 200
_MAX_REASON_LENGTH = 200
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


@attrs.frozen
class Page:
    """One page of the target list.

    Attributes:
      targets: Targets of the valid entries.
      skipped: Count of the malformed entries.
      next_page: Token of the next page; empty on the last page.
      reason: What is wrong with the first malformed entry; empty without one.
    """

    targets: tuple[model.Target, ...]
    skipped: int
    next_page: str
    reason: str = ""


def decode_page(document: bytes) -> Page:
    """Decodes a page; malformed entries are skipped.

    Raises:
      ValueError: The page itself is malformed.
    """
    root = fields.json_object(json_text.load_answer(document))
    entries = root.get("instances")
    if not isinstance(entries, list):
        raise ValueError("instances is not a list")
    decoded = []
    reasons = []
    for entry in entries:
        try:
            decoded.append(_decode_target(fields.json_object(entry)))
        except ValueError as error:
            reasons.append(str(error)[:_MAX_REASON_LENGTH])
    next_page = fields.check_text(root.get("next") or "", "next")
    reason = reasons[0] if reasons else ""
    return Page(tuple(decoded), len(reasons), next_page, reason)


def _decode_target(entry: fields.JsonObject) -> model.Target:
    state = fields.text(entry, "state")
    if state not in _IS_LEAVING_BY_STATE:
        raise ValueError(f"unknown state {state!r}")
    identity = _name(entry, "id")
    if not identity:
        raise ValueError("id is empty")
    return model.Target(
        id=identity,
        service=_name(entry, "service"),
        address=fields.address(entry, "address"),
        data_centre=_name(entry, "zone"),
        slots=max(1, fields.integer(entry, "slots", high=fields.MAX_COUNT)),
        leaving=_IS_LEAVING_BY_STATE[state],
        born_ms=fields.integer(entry, "born", 0),
        cold_s=fields.number(entry, "coldRemainingMs", 0) / 1000,
        weights=_decode_weights(entry),
        build=_name(entry, "version", ""),
    )


def _name(
    entry: fields.JsonObject, field: str, default: str | None = None
) -> str:
    name = fields.label(entry, field, default)
    if len(name) > _MAX_NAME_LENGTH:
        raise ValueError(f"{field} is longer than {_MAX_NAME_LENGTH}")
    return name


def _decode_weights(parent: fields.JsonObject) -> tuple[model.Weights, ...]:
    entries = fields.json_objects(parent, "models", required=False)
    if len(entries) > _MAX_MODELS:
        raise ValueError(f"there are more than {_MAX_MODELS} models")
    weights = []
    for entry in entries:
        version = fields.integer(entry, "version", low=0)
        weights.append(model.Weights(_name(entry, "name"), version))
    return tuple(weights)


@attrs.frozen
class Report:
    """State that a target reports; it is about 100 ms old.

    Attributes:
      weights: Versions of the weights that the target holds.
      is_executing_order: Whether the target is executing an order.
      orders: Count of the orders that it accepted since its start.
      requests: Count of the running and waiting requests.
      born_ms: Unix time of its start, in ms; 0 if unknown.
    """

    weights: tuple[model.Weights, ...]
    is_executing_order: bool
    orders: int
    requests: int
    born_ms: int


def decode_report(document: bytes) -> Report:
    """Decodes a target's report.

    Raises:
      ValueError: The report is malformed.
    """
    root = fields.json_object(json_text.load_answer(document))
    return Report(
        weights=_decode_weights(root),
        is_executing_order=fields.boolean(root, "busy"),
        orders=fields.integer(root, "seq"),
        requests=fields.integer(root, "active", 0)
        + fields.integer(root, "queued", 0),
        born_ms=fields.integer(root, "born", 0),
    )
