"""Answers of the operator interface."""

from __future__ import annotations

import json
import typing

from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.http import messages as http_messages
    from cactusstile.http import responder as responders

# Largest configuration that an operator may send.
MAX_DOCUMENT_BYTES = 16 << 20
# A document takes many times its size while it is decoded, and several of them
# may be received at once.
DOCUMENT_MEMORY_FRACTION = 1 / 32
OK = 200
TEMPORARY_REDIRECT = 307
INVALID = 400
NOT_FOUND = 404
CONFLICT = 409
UNAVAILABLE = 503
# The outcome is unknown: the change may still be committed.
UNCERTAIN = 504
JSON_CONTENT = (b"content-type", b"application/json")


def max_document_bytes(memory_mb: int) -> int:
    """Returns the largest configuration that a process takes.

    Args:
      memory_mb: Memory that the process may use, in MB.
    """
    share_bytes = int((memory_mb << 20) * DOCUMENT_MEMORY_FRACTION)
    return min(MAX_DOCUMENT_BYTES, share_bytes)


async def respond(
    responder: responders.Responder, status: int, text: str
) -> None:
    """Answers with a status and a text, unless an answer has begun."""
    if responder.started:
        return
    body = json.dumps({"result": text}).encode()
    await responder.respond(status, [JSON_CONTENT], body)


async def redirect(
    request: http_messages.Request,
    responder: responders.Responder,
    leader: address.Address | None,
    operator_port: int,
) -> None:
    """Redirects to the leader; answers 503 if no leader is known.

    Args:
      request: Request to redirect.
      responder: Where the answer goes.
      leader: Internal address of the leader.
      operator_port: Port of the operator interface, the same on all VMs.
    """
    if leader is None:
        await respond(responder, UNAVAILABLE, "no leader is known")
        return
    origin = address.Address(leader.host, operator_port)
    location = f"http://{origin}{request.target.decode('ascii', 'replace')}"
    await responder.respond(
        TEMPORARY_REDIRECT, [(b"location", location.encode())], b""
    )
