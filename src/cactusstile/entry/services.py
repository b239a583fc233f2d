"""Handler of calls to plain services."""

from __future__ import annotations

import typing

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.entry import calls
from cactusstile.filters import chain
from cactusstile.filters import exchange
from cactusstile.filters import refusals
from cactusstile.filters import request_options
from cactusstile.http import messages as http_messages

if typing.TYPE_CHECKING:
    from cactusstile.entry import dispatch
    from cactusstile.state import holder
    from cactusstile.state import model

PATH_PREFIX = "/services/"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
MAX_HEADERS = 100
_NOT_FORWARDED = frozenset(
    name.encode()
    for name in (
        "authorization",
        "content-length",
        "expect",
        "host",
        request_options.DEADLINE_HEADER,
        request_options.PRIORITY_HEADER,
        request_options.REPEATABLE_HEADER,
    )
)
_NOT_RETURNED = (b"content-length",)


def build_handler(
    fleet: holder.FleetHolder, dispatcher: dispatch.Dispatcher
) -> chain.Handler:
    """Returns the handler of calls under `PATH_PREFIX`."""

    async def handle(context: exchange.Exchange) -> None:
        request = _build_request(fleet.fleet, context)
        context.repeatable = request.repeatable
        context.body = b""
        reply = await dispatcher.call_service(request)
        fields = tuple(
            (header.name.lower().encode(), header.value.encode("latin-1"))
            for header in reply.headers
        )
        headers = http_messages.end_to_end(fields, _NOT_RETURNED)
        has_run = verdict.Verdict.HAS_RUN.value.encode()
        headers.append((refusals.VERDICT_HEADER, has_run))
        await context.answer(reply.status, reply.body, headers)

    return handle


def _build_request(
    fleet: model.Fleet, context: exchange.Exchange
) -> calls.ServiceRequest:
    raw_path = context.scope.get("raw_path") or context.scope["path"].encode()
    path = raw_path.decode("latin-1").removeprefix(PATH_PREFIX)
    name, _, subpath = path.partition("/")
    service = fleet.services.get(name)
    workspace = context.workspace.name
    if service is None or (
        service.workspaces and workspace not in service.workspaces
    ):
        raise verdict.refuse(
            verdict.Reason.UNKNOWN_MODEL,
            f"the service {name!r} does not exist for this workspace",
        )
    method = context.scope["method"]
    if method not in METHODS:
        raise verdict.refuse(
            verdict.Reason.BAD_REQUEST, f"the method {method} is not passed on"
        )
    query = context.scope["query_string"].decode("latin-1")
    full_path = f"/{subpath}?{query}" if query else f"/{subpath}"
    repeatable = context.repeatable
    if repeatable is None:
        repeatable = method in service.repeatable_methods
    return calls.ServiceRequest(
        request_key=context.request_key,
        workspace=workspace,
        service=name,
        method=method,
        path=full_path,
        headers=_select_headers(context),
        body=context.body,
        timeout_s=service.timeout_s,
        priority=context.priority,
        deadline_s=context.deadline_s,
        repeatable=repeatable,
    )


def _select_headers(
    context: exchange.Exchange,
) -> tuple[messages.Header, ...]:
    """Returns the headers to forward, without the caller's credentials."""
    fields = tuple(context.scope["headers"])
    forwarded = [
        messages.Header(name.decode("latin-1"), value.decode("latin-1"))
        for name, value in http_messages.end_to_end(fields, _NOT_FORWARDED)
    ]
    if len(forwarded) > MAX_HEADERS:
        raise verdict.refuse(
            verdict.Reason.TOO_LARGE, f"more than {MAX_HEADERS} headers"
        )
    return tuple(forwarded)
