"""Fake plain service with a ledger of the calls that took effect."""

from __future__ import annotations

import typing

import anyio
import attrs
from starlette import applications
from starlette import responses
from starlette import routing

from cactusstile.fakes import serving

if typing.TYPE_CHECKING:
    from starlette import requests


LEDGER_PATH = "/_ledger"
DELAY_HEADER = "x-fake-delay-s"


@attrs.frozen
class LedgerEntry:
    """A call that took effect.

    Attributes:
      workspace: Value of the X-Workspace header.
      request_key: Value of the Idempotency-Key header.
      method: HTTP method.
      path: Path of the URL.
      body: Body of the request.
    """

    workspace: str
    request_key: str
    method: str
    path: str
    body: bytes


@attrs.define
class Service:
    """State of a fake service.

    Attributes:
      ledger: All calls in the order in which they took effect.
      answer_delay_s: Seconds between a call's effect and its answer.
      answers_to_drop: Number of upcoming answers lost after the call's effect.
    """

    ledger: list[LedgerEntry] = attrs.field(factory=list)
    answer_delay_s: float = 0.0
    answers_to_drop: int = 0

    def count(self, workspace: str, request_key: str) -> int:
        """Returns the number of times that a request took effect."""
        return sum(
            entry.request_key == request_key and entry.workspace == workspace
            for entry in self.ledger
        )


def build_app(service: Service) -> applications.Starlette:
    """Returns the ASGI application of a service."""

    async def show_ledger(_: requests.Request) -> responses.Response:
        counts: dict[str, int] = {}
        for entry in service.ledger:
            name = f"{entry.workspace}/{entry.request_key}"
            counts[name] = counts.get(name, 0) + 1
        return responses.JSONResponse(counts)

    async def serve(request: requests.Request) -> responses.Response:
        body = await request.body()
        entry = LedgerEntry(
            request.headers.get("x-workspace", ""),
            request.headers.get("idempotency-key", ""),
            request.method,
            request.url.path,
            body,
        )
        service.ledger.append(entry)
        await anyio.sleep(
            float(request.headers.get(DELAY_HEADER, service.answer_delay_s))
        )
        if service.answers_to_drop:
            service.answers_to_drop -= 1
            return serving.cut_off()
        answer = {"number": len(service.ledger), "path": entry.path}
        return responses.JSONResponse(answer)

    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    route = routing.Route("/{path:path}", serve, methods=methods)
    ledger = routing.Route(LEDGER_PATH, show_ledger)
    return applications.Starlette(routes=[ledger, route])
