"""Runs of the fake engine: the submitted prompt and its output so far."""

from __future__ import annotations

import anyio
import attrs

from cactusstile import tokens


@attrs.frozen
class Submission:
    """A prompt to run.

    Attributes:
      request_id: Identity of the stream.
      workspace: Workspace of the caller; the correct answer depends on it.
      deployment: Deployment of the request; the correct answer depends on it.
      adapter: Name of the adapter; empty for none.
      cache_scope: Scope of the cache lookup. The engine does not verify it: a
        scope without the weight version finds blocks of older weights.
      prompt: Prompt tokens.
      max_tokens: Number of output tokens.
      priority: Larger values run first.
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
    """Output of a run, stored so that the stream can be resumed.

    Attributes:
      submission: The submitted prompt.
      scope: Cancel scope of the run.
      version: Weight version; empty until the run starts.
      cached_tokens: Number of prompt tokens found in the cache.
      output: Output tokens so far.
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
        """Wakes all tasks in `wait`."""
        self._changed.set()
        self._changed = anyio.Event()

    async def wait(self) -> None:
        """Waits for the next change."""
        await self._changed.wait()
