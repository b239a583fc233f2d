"""Requests to dispatch, independent of HTTP."""

from __future__ import annotations

import math

import anyio
import attrs

from cactusstile.agent import messages


@attrs.frozen
class PromptCall:
    """A prompt to run.

    Attributes:
      request_key: Identifier of the request, unique within its workspace.
      workspace: Workspace of the caller.
      deployment: Model deployment.
      adapter: "name@version" of the adapter; empty if there is none.
      tokens: Tokens of the prompt.
      prefix_key: Key that selects the home targets, see `routing.prefix`.
      max_tokens: Maximum number of output tokens.
      priority: Requests with a larger value go first.
      deadline_s: Deadline in seconds on the event loop's clock; infinite if
        there is none.
      repeatable: Whether the request may run more than once.
      epoch: Epoch allocated on arrival; 0 if there is none.
    """

    request_key: str
    workspace: str
    deployment: str
    adapter: str
    tokens: tuple[int, ...]
    prefix_key: bytes
    max_tokens: int
    priority: int = 0
    deadline_s: float = math.inf
    repeatable: bool = True
    epoch: int = 0


@attrs.frozen
class ServiceRequest:
    """A call of a plain service.

    Attributes:
      request_key: Identifier of the request, unique within its workspace.
      workspace: Workspace of the caller.
      service: Name of the service.
      method: HTTP method.
      path: Path and query string at the service.
      headers: Headers to forward.
      body: Request body.
      timeout_s: Timeout of the call in seconds, over all its attempts.
      priority: Requests with a larger value go first.
      deadline_s: Deadline in seconds on the event loop's clock; infinite if
        there is none.
      repeatable: Whether the request may run more than once.
      epoch: Epoch allocated on arrival; 0 if there is none.
    """

    request_key: str
    workspace: str
    service: str
    method: str
    path: str
    headers: tuple[messages.Header, ...]
    body: bytes
    timeout_s: float
    priority: int = 0
    deadline_s: float = math.inf
    repeatable: bool = False
    epoch: int = 0


def time_left_ms(deadline_s: float) -> int:
    """Returns the milliseconds until a deadline, at least 1.

    Returns 0 if the deadline is infinite.

    Args:
      deadline_s: Deadline in seconds on the event loop's clock.
    """
    if math.isinf(deadline_s):
        return 0
    return max(1, math.ceil((deadline_s - anyio.current_time()) * 1000))
