"""Runs of the fake engine: what was asked and the output so far."""

from __future__ import annotations

import anyio
import attrs

from cactusstile import tokens


@attrs.frozen
class Submission:
    """A prompt to run.

    Attributes:
      request_id: Identity of the stream.
      workspace: Workspace of the caller; part of the right answer.
      deployment: Deployment of the request; part of the right answer.
      adapter: Adapter, empty without one.
      cache_scope: Scope by which the cache finds blocks. The engine trusts
        it: a scope without the weight version finds blocks of old weights.
      prompt: Tokens.
      max_tokens: Count of output tokens.
      priority: Larger first.
    """

    request_id: str
    workspace: str
    deployment: str
    adapter: str
    cache_scope: tokens.Scope
    prompt: tuple[int, ...]
    max_tokens: int
    priority: int = 0


@attrs.define
class Stream:
    """A run's output, kept so that it can be resumed.

    Attributes:
      submission: What runs.
      scope: Cancels the run.
      version: Weight version, once running.
      cached_tokens: Prompt tokens found in the cache.
      output: Tokens so far.
      state: "waiting", "running", "done" or "cancelled".
    """

    submission: Submission
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    version: str = ""
    cached_tokens: int = 0
    output: list[int] = attrs.field(factory=list)
    state: str = "waiting"
    _changed: anyio.Event = attrs.field(factory=anyio.Event)

    def notify(self) -> None:
        """Wakes all readers."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self) -> None:
        """Returns at the next change."""
        await self._changed.wait()
