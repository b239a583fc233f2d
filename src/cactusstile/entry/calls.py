"""Requests as the entry dispatches them, independent of HTTP."""

from __future__ import annotations

import math

import anyio
import attrs

from cactusstile.agent import messages


@attrs.frozen
class PromptCall:
    """A prompt to run.

    Attributes:
      request_key: Identity of the request within its workspace.
      workspace: Workspace of the caller.
      deployment: Model deployment.
      adapter: "name@version" of the adapter, empty without one.
      tokens: Prompt.
      prefix_key: Key that places the prompt, see `routing.prefix`.
      max_tokens: Bound on the output.
      priority: Larger first.
      deadline_s: Deadline on the loop's clock; infinite without one.
      repeatable: Whether the request may run more than once.
      epoch: Epoch drawn when it arrived; 0 if none was.
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
      request_key: Identity of the request within its workspace.
      workspace: Workspace of the caller.
      service: Name of the service.
      method: HTTP method.
      path: Path and query at the service.
      headers: Headers to pass on.
      body: Body of the request.
      timeout_s: Bound on the call.
      priority: Larger first.
      deadline_s: Deadline on the loop's clock; infinite without one.
      repeatable: Whether the request may run more than once.
      epoch: Epoch drawn when it arrived; 0 if none was.
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
    """Returns the milliseconds until a deadline, at least 1; 0 without one."""
    if math.isinf(deadline_s):
        return 0
    return max(1, math.ceil((deadline_s - anyio.current_time()) * 1000))
