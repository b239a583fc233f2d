"""Admin HTTP application: metrics, health checks and the state dump."""

from __future__ import annotations

import collections.abc
import json
import typing

import attrs
import prometheus_client
import starlette.requests
import starlette.responses
import starlette.routing

Dump: typing.TypeAlias = collections.abc.Callable[[], typing.Any]


def build(
    registries: collections.abc.Sequence[prometheus_client.CollectorRegistry],
    is_ready: collections.abc.Callable[[], bool],
    dump: Dump,
) -> starlette.routing.Router:
    """Builds the application served at a process's admin address.

    Args:
      registries: Metrics registries of the process.
      is_ready: Returns whether the process is ready to serve.
      dump: Returns the state of the process as attrs instances; must not
        contain prompt text or secrets.
    """

    async def metrics(
        _: starlette.requests.Request,
    ) -> starlette.responses.Response:
        pages = [
            prometheus_client.generate_latest(registry)
            for registry in registries
        ]
        return starlette.responses.Response(
            b"".join(pages),
            media_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    async def show_dump(
        _: starlette.requests.Request,
    ) -> starlette.responses.Response:
        return starlette.responses.Response(
            render_dump(dump()), media_type="application/json"
        )

    return starlette.routing.Router(
        [
            starlette.routing.Route("/metrics", metrics),
            starlette.routing.Route("/dump", show_dump),
            *health_routes(is_ready),
        ]
    )


def health_routes(
    is_ready: collections.abc.Callable[[], bool],
) -> list[starlette.routing.Route]:
    """Returns the routes /livez and /readyz.

    Args:
      is_ready: Returns whether the process is ready to serve.
    """

    async def live(
        _: starlette.requests.Request,
    ) -> starlette.responses.Response:
        return starlette.responses.PlainTextResponse("live\n")

    async def ready(
        _: starlette.requests.Request,
    ) -> starlette.responses.Response:
        if is_ready():
            return starlette.responses.PlainTextResponse("ready\n")
        return starlette.responses.PlainTextResponse("not ready\n", 503)

    return [
        starlette.routing.Route("/livez", live),
        starlette.routing.Route("/readyz", ready),
    ]


def render_dump(state: typing.Any) -> bytes:
    """Serializes a state dump as JSON.

    Attrs instances become objects, bytes become hexadecimal text, and other
    types that JSON lacks become their text.

    >>> @attrs.frozen
    ... class Load:
    ...     running: int
    >>> print(render_dump(Load(1)).decode(), end="")
    {
     "running": 1
    }
    """
    document = json.dumps(state, indent=1, default=_to_json_value)
    return document.encode() + b"\n"


def _to_json_value(value: typing.Any) -> typing.Any:
    if attrs.has(type(value)):
        return attrs.asdict(value, recurse=False)
    if isinstance(value, bytes):
        return value.hex()
    return str(value)
