"""Calls of the operator interface, the product's own included."""

from __future__ import annotations

import enum
import json
import typing

import attrs

from cactusstile import json_text
from cactusstile.platform import calls
from cactusstile.platform import fields
from cactusstile.registry import evacuation_calls

if typing.TYPE_CHECKING:
    from cactusstile.http import messages
    from cactusstile.registry import holds


class HoldCall(enum.Enum):
    """Calls on holds, by method and path."""

    LIST = "GET /holds"
    RELEASE = "POST /holds/release"


Call: typing.TypeAlias = (
    calls.OperatorCall
    | HoldCall
    | evacuation_calls.ListCall
    | evacuation_calls.ChangeCall
)


def find(request: messages.Request) -> Call | None:
    """Returns the call that a request makes; None if it makes none."""
    name = f"{request.method.decode('ascii', 'replace')} {request.path}"
    for call in HoldCall:
        if call.value == name:
            return call
    return calls.find_operator_call(request) or evacuation_calls.find(request)


def encode_holds(table: holds.HoldTable) -> bytes:
    """Returns the body of the answer to `HoldCall.LIST`."""
    entries = [attrs.asdict(hold) for hold in table.holds]
    return json.dumps({"holds": entries}).encode()


def decode_release(document: bytes) -> str:
    """Returns the id in the body of a `HoldCall.RELEASE`.

    Raises:
      ValueError: The body is malformed.
    """
    decoded = fields.json_object(json_text.load_document(document))
    return fields.text(decoded, "id")
