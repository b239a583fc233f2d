"""Reads the platform's list of targets, and what a target tells of itself."""

from __future__ import annotations

import json

import attrs

from cactusstile.platform import fields
from cactusstile.sites import model
from cactusstile.transport import address

_LEAVING = {"ready": False, "draining": True}


@attrs.frozen
class Page:
    """One page of the list.

    Attributes:
      targets: Targets of the entries that could be read.
      skipped: Count of entries that could not.
      next_page: Token of the following page; empty on the last.
    """

    targets: tuple[model.Target, ...]
    skipped: int
    next_page: str


def decode_page(document: bytes) -> Page:
    """Returns a page; entries that cannot be read are passed over.

    Raises:
      ValueError: The page as a whole cannot be read.
    """
    read = fields.table(json.loads(document.decode("utf-8", "replace")))
    entries = read.get("instances")
    if not isinstance(entries, list):
        raise ValueError("instances is no list")
    found = []
    skipped = 0
    for entry in entries:
        try:
            found.append(_target(fields.table(entry)))
        except ValueError:
            skipped += 1
    following = read.get("next") or ""
    if not isinstance(following, str):
        raise ValueError("next is no text")
    return Page(tuple(found), skipped, following)


def _target(read: fields.Table) -> model.Target:
    state = fields.text(read, "state")
    if state not in _LEAVING:
        raise ValueError(f"state {state!r} is not known")
    identity = fields.text(read, "id")
    if not identity:
        raise ValueError("id is empty")
    return model.Target(
        id=identity,
        service=fields.text(read, "service"),
        address=address.parse(fields.text(read, "address")),
        data_centre=fields.text(read, "zone"),
        slots=max(1, fields.whole(read, "slots")),
        leaving=_LEAVING[state],
        born_ms=fields.whole(read, "born", 0),
        cold_s=fields.number(read, "coldRemainingMs", 0) / 1000,
        weights=_weights(read),
    )


def _weights(read: fields.Table) -> tuple[model.Weights, ...]:
    found = []
    for one in fields.tables(read, "models", required=False):
        version = fields.whole(one, "version")
        found.append(model.Weights(fields.text(one, "name"), version))
    return tuple(found)


@attrs.frozen
class Report:
    """What a target tells of itself, some 100 ms old.

    Attributes:
      weights: Versions of the weights that it holds.
      ordered: Whether an order is being carried out.
      orders: Count of the orders that it accepted since its start.
      requests: Requests that run or wait.
      born_ms: Unix time of its start, in ms; 0 if unknown.
    """

    weights: tuple[model.Weights, ...]
    ordered: bool
    orders: int
    requests: int
    born_ms: int


def decode_report(document: bytes) -> Report:
    """Returns a target's report.

    Raises:
      ValueError: It cannot be read.
    """
    read = fields.table(json.loads(document))
    return Report(
        weights=_weights(read),
        ordered=fields.flag(read, "busy"),
        orders=fields.whole(read, "seq"),
        requests=fields.whole(read, "active", 0)
        + fields.whole(read, "queued", 0),
        born_ms=fields.whole(read, "born", 0),
    )
