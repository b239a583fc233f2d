"""What a gateway knows of a request once it may be forwarded."""

from __future__ import annotations

import attrs

from cactusstile import verdict
from cactusstile.gateway import prompts
from cactusstile.gateway import routes
from cactusstile.http import messages
from cactusstile.platform import headers
from cactusstile.sites import model

# Longest wait for the first configuration: an election and a connection.
HOLD_S = 1.5
# Part of a caller's time that such a wait may take.
HOLD_SHARE = 0.3
# Time that a caller waits who does not say how long.
DEFAULT_WAIT_S = 2.0
# Ranks that an engine tells apart; 0 goes first.
LOWEST_RANK = 9
# Time after the first configuration within which the contents of the stores are
# told, at the latest: control learns of them just after its election.
STORES_WAIT_S = 0.5
# Prompts below this length are read sooner than the wait would last.
MIN_WAITING_TOKENS = 2000
# Ranks of routes within one rank of workspaces.
RANKS_PER_WORKSPACE_RANK = 3
# Name of the KV cache that all workspaces but isolated ones share.
SHARED_WALL = "shared"


@attrs.frozen
class Admitted:
    """A request that the configuration allows.

    Attributes:
      request: The request.
      id: Identity that the caller gave it.
      route: Its route.
      workspace: Workspace of its key; None on public routes.
      prompt: What it says of its prompt.
      wall: Those with whom its KV cache is shared; part of the salt.
      rank: Rank at engines, from 0, which goes first.
      answer_by_s: Loop time by which the final answer is due.
      caller_until_s: Loop time at which the caller stops waiting.
      last_event_id: Last event that the caller has, of a resumed stream.
      version: Version of the configuration that decided.
    """

    request: messages.Request
    id: str
    route: model.Route
    workspace: model.Workspace | None
    prompt: prompts.Prompt
    wall: str
    rank: int
    answer_by_s: float
    caller_until_s: float
    last_event_id: int | None
    version: int


def admit(table: routes.Table, request: messages.Request) -> Admitted:
    """Returns the request with what the configuration says of it.

    Raises:
      RefusedError: The configuration does not allow it.
    """
    host = request.find(b"host") or ""
    route = table.find_route(host, request.path)
    if route is None:
        raise verdict.refuse(
            verdict.Reason.UNKNOWN_ROUTE, "no route has this host and path"
        )
    workspace = _authenticate(table, route, request)
    answer_by_s = request.received_s + route.timeout_s
    until_s = _caller_until(request, answer_by_s)
    return Admitted(
        request=request,
        id=request.find(headers.REQUEST_ID) or "",
        route=route,
        workspace=workspace,
        prompt=prompts.parse(
            request.find(headers.MODEL),
            request.find(headers.TOKENS),
            request.find(headers.PROMPT_PARTS),
            request.find(headers.LENGTH_ESTIMATE),
        ),
        wall=_wall(workspace),
        rank=rank_of(route, workspace),
        answer_by_s=answer_by_s,
        caller_until_s=until_s,
        last_event_id=_number(request, headers.LAST_EVENT_ID),
        version=table.configuration.version,
    )


def hold_s(request: messages.Request) -> float:
    """Returns how long a request may wait for the first configuration."""
    until_s = _caller_until(request, request.received_s + DEFAULT_WAIT_S)
    return min(HOLD_S, HOLD_SHARE * (until_s - request.received_s))


def stores_wait_s(
    prompt_tokens: int, since_configured_s: float, *, known: bool
) -> float:
    """Returns how long a prompt waits for the contents of the stores.

    Answers a loss of all power: gateways that know nothing would have engines
    read all prompts anew, for seconds, though stores still hold them.

    >>> stores_wait_s(9000, 0.1, known=False)
    0.4
    >>> stores_wait_s(800, 0.1, known=False), stores_wait_s(9000, 0, known=True)
    (0.0, 0.0)
    """
    if known or prompt_tokens < MIN_WAITING_TOKENS:
        return 0.0
    return max(0.0, STORES_WAIT_S - since_configured_s)


def _authenticate(
    table: routes.Table, route: model.Route, request: messages.Request
) -> model.Workspace | None:
    if route.public or not table.needs_keys:
        return None
    workspace = table.find_workspace(request.find(headers.KEY) or "")
    if workspace is None:
        raise verdict.refuse(
            verdict.Reason.UNAUTHENTICATED, "no workspace holds this key"
        )
    return workspace


def _caller_until(request: messages.Request, default_s: float) -> float:
    limit_ms = _number(request, headers.DEADLINE_MS)
    return (
        default_s if limit_ms is None else request.received_s + limit_ms / 1000
    )


def _number(request: messages.Request, name: bytes) -> int | None:
    """Returns the number in a header field; None if it holds none."""
    text = (request.find(name) or "").strip()
    if not text.isdecimal() or len(text) > len(str(2**31)):
        return None
    return int(text)


def _wall(workspace: model.Workspace | None) -> str:
    if workspace is None or not workspace.isolated:
        return SHARED_WALL
    return f"workspace-{workspace.name}"


def rank_of(route: model.Route, workspace: model.Workspace | None) -> int:
    """Returns the rank at engines; a workspace's goes before a route's.

    >>> one = model.Route("r", "h", "/", model.Kind.ONCE, (), 1.0, priority=1)
    >>> rank_of(one, None), rank_of(one, model.Workspace("w", (), priority=2))
    (1, 7)
    """
    last = RANKS_PER_WORKSPACE_RANK - 1
    rank = min(max(route.priority, 0), last)
    if workspace is not None and workspace.priority is not None:
        rank += RANKS_PER_WORKSPACE_RANK * max(workspace.priority, 0)
    return min(rank, LOWEST_RANK)
