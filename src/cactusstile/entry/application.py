"""ASGI application for callers."""

from __future__ import annotations

import typing

import attrs
import starlette.routing

from cactusstile import verdict
from cactusstile.entry import completions
from cactusstile.entry import openai_answers
from cactusstile.entry import openai_requests
from cactusstile.entry import services
from cactusstile.filters import authenticate
from cactusstile.filters import body
from cactusstile.filters import chain
from cactusstile.filters import earlier_attempts
from cactusstile.filters import exceptions
from cactusstile.filters import exchange
from cactusstile.filters import final_refusals
from cactusstile.filters import limit
from cactusstile.filters import refusals
from cactusstile.filters import request_options

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.observability import entry_metrics


@attrs.define
class Readiness:
    """Readiness of this entry for callers.

    Attributes:
      is_configured: Returns whether a confirmed configuration is in force.
      draining: Whether the process is shutting down gracefully.
    """

    is_configured: collections.abc.Callable[[], bool]
    draining: bool = False

    def is_ready(self) -> bool:
        """Returns whether the load balancer should route new callers here."""
        return self.is_configured() and not self.draining


@attrs.frozen
class Bounds:
    """Bounds of the filter chain.

    Attributes:
      max_body_bytes: Maximum size of one request body.
      memory: Bounds the total size of all requests in memory.
      in_flight: Bounds the requests in flight.
    """

    max_body_bytes: int
    memory: body.BodyMemory
    in_flight: limit.InFlight


@attrs.frozen
class Endpoint:
    """ASGI endpoint that handles exchanges with a chain of filters.

    Attributes:
      route: Name of the route in metrics.
      handler: Handler composed with its filters.
      metrics: Metrics of the entry.
    """

    route: str
    handler: chain.Handler
    metrics: entry_metrics.EntryMetrics

    async def __call__(
        self,
        scope: exchange.Scope,
        receive: exchange.Receive,
        send: exchange.Send,
    ) -> None:
        """Serves one request."""
        context = exchange.build(scope, receive, send)
        try:
            await self.handler(context)
        except exceptions.CallerLeftError:
            self.metrics.callers_left.inc()
        finally:
            self.metrics.requests.labels(self.route, context.status).inc()


def build(
    parts: completions.Parts,
    find_workspace: collections.abc.Callable[[str], str | None],
    readiness: Readiness,
    bounds: Bounds,
    close_key: earlier_attempts.CloseKey,
) -> starlette.routing.Router:
    """Returns the ASGI application that serves callers."""
    filters = _build_filters(
        parts, find_workspace, readiness, bounds, close_key
    )
    chat = completions.build_handler(
        parts, openai_answers.CHAT, openai_requests.parse_chat
    )
    text = completions.build_handler(
        parts, openai_answers.TEXT, openai_requests.parse_completion
    )
    models = completions.build_models_handler(parts.fleet)
    service = services.build_handler(parts.fleet, parts.dispatcher)

    def route(
        path: str, name: str, handler: chain.Handler, *methods: str
    ) -> starlette.routing.Route:
        route_filters = [filters[0], _check_method(methods), *filters[1:]]
        composed = chain.compose(route_filters, handler)
        endpoint = Endpoint(name, composed, parts.metrics)
        return starlette.routing.Route(path, endpoint)

    service_path = services.PATH_PREFIX + "{rest:path}"
    missing = chain.compose(filters[:1], _refuse_path)
    return starlette.routing.Router(
        [
            route("/v1/chat/completions", "chat", chat, "POST"),
            route("/v1/completions", "completions", text, "POST"),
            route("/v1/models", "models", models, "GET"),
            route(service_path, "service", service, *services.METHODS),
        ],
        redirect_slashes=False,
        default=Endpoint("unknown", missing, parts.metrics),
    )


def _build_filters(
    parts: completions.Parts,
    find_workspace: collections.abc.Callable[[str], str | None],
    readiness: Readiness,
    bounds: Bounds,
    close_key: earlier_attempts.CloseKey,
) -> list[chain.Filter]:
    return [
        refusals.answer_refusals(parts.metrics.count_refusal),
        body.hold_head(bounds.memory),
        request_options.require_confirmed(readiness.is_configured),
        final_refusals.confirm_refusals(parts.fleet, parts.read_revision),
        body.check_declared_size(bounds.max_body_bytes),
        authenticate.authenticate(parts.fleet, find_workspace),
        request_options.read_options,
        request_options.set_request_key,
        earlier_attempts.check_earlier_attempts(close_key),
        limit.limit_in_flight(bounds.in_flight),
        body.read_body(bounds.max_body_bytes, bounds.memory),
        body.cancel_when_caller_leaves,
    ]


def _check_method(methods: tuple[str, ...]) -> chain.Filter:
    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        if context.scope["method"] not in methods:
            raise verdict.refuse(
                verdict.Reason.BAD_REQUEST,
                f"use {' or '.join(methods)} for {context.scope['path']}",
            )
        await call_next(context)

    return filter_exchange


async def _refuse_path(context: exchange.Exchange) -> None:
    raise verdict.refuse(
        verdict.Reason.BAD_REQUEST,
        f"nothing is served at {context.scope['path'][:200]!r}; see "
        "/v1/models, /v1/chat/completions, /v1/completions and /services/NAME",
    )
