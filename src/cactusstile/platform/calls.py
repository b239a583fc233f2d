"""Paths and bodies of the platform's calls."""

from __future__ import annotations

import enum
import json
import urllib.parse

from cactusstile.http import messages
from cactusstile.platform import fields
from cactusstile.platform import headers
from cactusstile.sites import model

READINESS_PATH = "/-/readyz"
_JSON = (b"content-type", b"application/json")
_SYSTEM_HOST = (b"host", b"cactusstile")


class OperatorCall(enum.Enum):
    """Calls of the operator's interface."""

    REPLACE_CONFIGURATION = "POST /-/Config.Replace"
    READ_CONFIGURATION = "GET /-/Config.Get"
    NAME_WEIGHTS = "POST /-/version-put"


def operator_call(request: messages.Request) -> OperatorCall | None:
    """Returns which call a request makes, if any."""
    name = f"{request.method.decode('ascii', 'replace')} {request.path}"
    for call in OperatorCall:
        if call.value == name:
            return call
    return None


def decode_weights(document: bytes) -> model.Weights:
    """Returns the weights that an operator names.

    Raises:
      ValueError: The body cannot be read.
    """
    read = fields.table(json.loads(document))
    version = fields.whole(read, "version")
    if version < 1:
        raise ValueError("version is below 1")
    return model.Weights(fields.text(read, "model"), version)


def list_request(page: str) -> messages.Request:
    """Returns the request for a page of the list of targets."""
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
    """What becomes of the runs at an engine that changes weights."""

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
    """Returns the order that an engine load other weights.

    Args:
      target: The engine.
      weights: Weights to load.
      mode: What becomes of the runs.
      holder: Name of the VM that orders.
      fence: Number from the log; engines refuse lower ones.
      expected_orders: Orders that the engine has accepted; it refuses when
        another came first, also if this one is carried out late.
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
