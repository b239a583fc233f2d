"""Metrics and the state dump, served by `http.callers` listeners."""

from __future__ import annotations

import json
import typing

import prometheus_client

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.http import messages
    from cactusstile.http import responder as responders
    from cactusstile.http import serving as servings

    Dump = collections.abc.Callable[[], dict[str, typing.Any]]

OK = 200
NOT_FOUND = 404
_METRICS_CONTENT_TYPE = (
    b"content-type",
    prometheus_client.CONTENT_TYPE_LATEST.encode(),
)
_JSON_CONTENT_TYPE = (b"content-type", b"application/json")


def build(
    registry: prometheus_client.CollectorRegistry, dump: Dump
) -> servings.Handler:
    """Returns a request handler for /metrics and /dump."""

    async def handle(
        request: messages.Request, responder: responders.Responder
    ) -> None:
        await responder.take_turn()
        if request.path == "/metrics":
            metrics = prometheus_client.generate_latest(registry)
            await responder.respond(OK, [_METRICS_CONTENT_TYPE], metrics)
        elif request.path == "/dump":
            body = json.dumps(dump(), indent=2).encode()
            await responder.respond(OK, [_JSON_CONTENT_TYPE], body)
        else:
            await responder.respond(NOT_FOUND, [], b"/metrics or /dump\n")

    return handle
