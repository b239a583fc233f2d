"""Paths and bodies of calls that the platform defines."""

from __future__ import annotations

import enum
import json
import urllib.parse

from cactusstile import json_text
from cactusstile.http import messages
from cactusstile.platform import fields
from cactusstile.platform import headers
from cactusstile.sites import model

READINESS_PATH = "/-/readyz"
_JSON = (b"content-type", b"application/json")
_SYSTEM_HOST = (b"host", b"cactusstile")


class OperatorCall(enum.Enum):
    """Calls of the operator interface, by method and path."""

    REPLACE_CONFIGURATION = "POST /-/Config.Replace"
    READ_CONFIGURATION = "GET /-/Config.Get"
    NAME_WEIGHTS = "POST /-/version-put"


class EvacuationCall(enum.Enum):
    """Calls whose path ends with the name of a data centre."""

    BEGIN = "POST /-/Evacuations.Start/"
    END = "POST /-/Evacuations.Finish/"


def find_evacuation_call(
    request: messages.Request,
) -> tuple[EvacuationCall, str] | None:
    """Returns the call that a request makes, and its data centre.

    >>> path = b"/-/Evacuations.Start/ikeja-hall"
    >>> find_evacuation_call(messages.Request(b"POST", path, ()))
    (<EvacuationCall.BEGIN: 'POST /-/Evacuations.Start/'>, 'ikeja-hall')
    """
    name = f"{request.method.decode('ascii', 'replace')} {request.path}"
    for call in EvacuationCall:
        if name.startswith(call.value):
            rest = name.removeprefix(call.value)
            return call, urllib.parse.unquote(rest)
    return None


def find_operator_call(request: messages.Request) -> OperatorCall | None:
    """Returns the call that a request makes; None if it makes none."""
    name = f"{request.method.decode('ascii', 'replace')} {request.path}"
    for call in OperatorCall:
        if call.value == name:
            return call
    return None


def decode_weights(document: bytes) -> model.Weights:
    """Decodes the body of a `NAME_WEIGHTS` call.

    Raises:
      ValueError: The body is malformed.
    """
    decoded = fields.json_object(json_text.load_document(document))
    version = fields.integer(decoded, "version", low=1)
    return model.Weights(fields.label(decoded, "model"), version)


def list_request(page: str) -> messages.Request:
    """Returns the request for a page of the target list.

    Args:
      page: Token of the page; empty for the first page.
    """
    target = "/instances"
    if page:
        target += "?" + urllib.parse.urlencode({"pageToken": page})
    return messages.Request(b"GET", target.encode(), (_SYSTEM_HOST,))


def report_request(target: model.Target) -> messages.Request:
    """Returns the request for a target's report."""
    return messages.Request(
        b"GET", b"/-/report", (_SYSTEM_HOST, _expect(target))
    )


class SwapMode(enum.Enum):
    """How a swap of weights treats the runs of the engine."""

    FINISH_FIRST = "wait"
    CUT_OFF = "truncate"
    GO_ON = "retain"


def swap_request(
    target: model.Target,
    weights: model.Weights,
    *,
    mode: SwapMode,
    holder: str,
    fence: int,
    expected_orders: int,
) -> messages.Request:
    """Returns an order for an engine to load other weights.

    Args:
      target: The engine.
      weights: Weights to load.
      mode: How the engine treats its runs.
      holder: Name of the VM that sends the order.
      fence: Fencing number from the replicated log; an engine refuses lower
        numbers than it has seen.
      expected_orders: Number of orders that the engine has accepted. It
        refuses the order if it accepted another one meanwhile, also when it
        executes the order late.
    """
    body = {
        "op": "version",
        "model": weights.model,
        "version": weights.version,
        "mode": mode.value,
        "holder": holder,
        "fence": fence,
        "expect": expected_orders,
    }
    return messages.Request(
        b"POST",
        b"/-/order",
        (_SYSTEM_HOST, _JSON, _expect(target)),
        json.dumps(body).encode(),
    )


def _expect(target: model.Target) -> tuple[bytes, bytes]:
    return headers.EXPECTED_TARGET, target.id.encode()
