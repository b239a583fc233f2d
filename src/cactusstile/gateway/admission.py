"""Admits requests: route, workspace, deadlines and priority."""

from __future__ import annotations

import functools

import attrs

from cactusstile import verdict
from cactusstile.gateway import priorities
from cactusstile.gateway import routes
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.quarantine import request_keys
from cactusstile.http import events
from cactusstile.http import messages
from cactusstile.platform import headers
from cactusstile.sites import model

# Longest wait for the first configuration; covers an election of the control
# group and a connection to its leader.
MAX_CONFIGURATION_WAIT_S = 1.5
# Fraction of the caller's timeout that this wait may take.
CONFIGURATION_WAIT_FRACTION = 0.3
# Assumed timeout of callers that send no deadline.
DEFAULT_CALLER_TIMEOUT_S = 2.0
# Longest wait for the contents of the stores after the first configuration:
# control receives them right after its election.
MAX_STORES_WAIT_S = 0.5
# Shorter prompts are prefilled faster than the wait would take.
MIN_TOKENS_TO_WAIT = 2000


@attrs.frozen
class AdmittedRequest:
    """A request that the configuration allows.

    Attributes:
      request: The request.
      id: Request id from the caller.
      route: Route that matches the host and path.
      workspace: Workspace of the key; None on public routes, and if the
        configuration lists no workspaces.
      prompt: Prompt as described by the header fields.
      cache_scope: Isolation domain within which the KV cache was shared at the
        time of the admission; part of the salt.
      engine_priority: Priority at engines; 0 is served first.
      least_urgent: Priority at engines of the least urgent requests.
      answer_deadline_s: Loop time by which the route requires the final
        answer.
      caller_deadline_s: Loop time at which the caller stops waiting.
      last_event_id: Id of the last event that the caller received before it
        resumed the stream; None if it does not resume one.
      resumed_id: Id of the attempt that brought the first event of the stream
        that the caller resumes; empty if it names none.
      version: Version of the configuration that was applied.
    """

    request: messages.Request
    id: str
    route: model.Route
    workspace: model.Workspace | None
    prompt: prompts.Prompt
    cache_scope: str
    engine_priority: int
    least_urgent: int
    answer_deadline_s: float
    caller_deadline_s: float
    last_event_id: int | None
    resumed_id: str
    version: int

    @functools.cached_property
    def regions(self) -> tuple[frozenset[str], ...]:
        """Sets of regions that bind the request; see `routing.regions`."""
        bounds = [self.route.regions]
        if self.workspace is not None:
            bounds.append(self.workspace.regions)
        return tuple(bound for bound in bounds if bound)

    @functools.cached_property
    def keys(self) -> request_keys.RequestKeys:
        """Keys under which targets may end."""
        return request_keys.compute(
            self.request,
            self.prompt,
            host=self.route.host,
            route=self.route.name,
            workspace="" if self.workspace is None else self.workspace.name,
        )


def admit(
    table: routes.RoutingTable, request: messages.Request
) -> AdmittedRequest:
    """Matches a request against the configuration.

    Raises:
      RefusedError: No route matches, or the key is not valid.
    """
    host = request.find(b"host") or ""
    route = table.find_route(host, request.path)
    if route is None:
        raise verdict.refuse(
            verdict.Reason.UNKNOWN_ROUTE, "no route has this host and path"
        )
    workspace = _authenticate(table, route, request)
    answer_deadline_s = request.received_s + route.timeout_s
    caller_deadline_s = _caller_deadline_s(request, answer_deadline_s)
    return AdmittedRequest(
        request=request,
        id=request.find(headers.REQUEST_ID) or "",
        route=route,
        workspace=workspace,
        prompt=prompts.parse(
            request.find(headers.MODEL),
            messages.find_list(request.headers, headers.TOKENS),
            messages.find_list(request.headers, headers.PROMPT_PARTS),
            request.find(headers.LENGTH_ESTIMATE),
        ),
        cache_scope=table.cache_scope(workspace),
        engine_priority=priorities.compute_engine_priority(route, workspace),
        least_urgent=table.least_urgent,
        answer_deadline_s=answer_deadline_s,
        caller_deadline_s=caller_deadline_s,
        last_event_id=events.parse_id(
            (request.find(headers.LAST_EVENT_ID) or "").encode()
        ),
        resumed_id=request.find(headers.RESUMED_REQUEST) or "",
        version=table.configuration.version,
    )


def configuration_wait_s(request: messages.Request) -> float:
    """Returns the longest wait of a request for the first configuration."""
    caller_deadline_s = _caller_deadline_s(
        request, request.received_s + DEFAULT_CALLER_TIMEOUT_S
    )
    return min(
        MAX_CONFIGURATION_WAIT_S,
        CONFIGURATION_WAIT_FRACTION * (caller_deadline_s - request.received_s),
    )


def stores_wait_s(
    prompt_tokens: int, since_configured_s: float, *, are_contents_known: bool
) -> float:
    """Returns the longest wait of a prompt for the contents of the stores.

    After a power loss of the whole site the stores still hold the prompts.
    Gateways that do not have the contents yet would have engines recompute all
    prompts, which takes seconds.

    Args:
      prompt_tokens: Length of the prompt.
      since_configured_s: Time since the first configuration.
      are_contents_known: Whether there is nothing to wait for.

    >>> stores_wait_s(9000, 0.1, are_contents_known=False)
    0.4
    >>> stores_wait_s(800, 0.1, are_contents_known=False)
    0.0
    >>> stores_wait_s(9000, 0, are_contents_known=True)
    0.0
    """
    if are_contents_known or prompt_tokens < MIN_TOKENS_TO_WAIT:
        return 0.0
    return max(0.0, MAX_STORES_WAIT_S - since_configured_s)


def _authenticate(
    table: routes.RoutingTable, route: model.Route, request: messages.Request
) -> model.Workspace | None:
    if route.public or not table.needs_keys:
        return None
    workspace = table.find_workspace(request.find(headers.KEY) or "")
    if workspace is None:
        raise verdict.refuse(
            verdict.Reason.UNAUTHENTICATED, "no workspace holds this key"
        )
    return workspace


def _caller_deadline_s(request: messages.Request, default_s: float) -> float:
    text = (request.find(headers.DEADLINE_MS) or "").strip()
    if not text.isdecimal() or len(text) > len(str(2**31)):
        return default_s
    return request.received_s + int(text) / 1000
