"""Probes: concurrent queries of agents about the expected cost of a run."""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.entry import calls
from cactusstile.entry import routes
from cactusstile.transport import exceptions

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.state import model
    from cactusstile.transport import pool

logger = logging.getLogger(__name__)

MAX_BLOCK_KEYS = 1024
MAX_PROBING_REQUESTS = 32
MAX_WAITING_REQUESTS = 512
RETRY_AFTER_FULL_QUEUE_S = 1.0
PROBE_TIMEOUT_S = 1.0
STRAGGLER_GRACE_S = 0.02


class ProbeLimiter:
    """Bounds the number of requests that probe concurrently.

    Without this bound, a burst of requests delays the event loop, the delay
    makes probes time out, and retries of the refused requests form the next
    burst.

    Attributes:
      waiting: Number of requests that wait for a slot.
    """

    def __init__(
        self, max_probing_requests: int = MAX_PROBING_REQUESTS
    ) -> None:
        """Allows `max_probing_requests` requests to probe concurrently."""
        self.waiting = 0
        self._slots = anyio.Semaphore(max_probing_requests)

    @contextlib.asynccontextmanager
    async def hold_slot(self) -> collections.abc.AsyncIterator[None]:
        """Holds a slot while the context is open.

        Raises:
          RefusedError: If too many requests already wait.
        """
        if self.waiting >= MAX_WAITING_REQUESTS:
            raise verdict.refuse(
                verdict.Reason.OVERLOADED,
                "this entry has too many requests to place",
                retry_after_s=RETRY_AFTER_FULL_QUEUE_S,
            )
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            yield
        finally:
            self._slots.release()


def build(
    call: calls.PromptCall,
    keys: tuple[bytes, ...],
    *,
    revision: int,
    reserve: bool,
) -> messages.Probe:
    """Returns the probe message for a prompt."""
    return messages.Probe(
        call.workspace,
        call.deployment,
        call.adapter,
        keys,
        len(call.tokens),
        call.max_tokens,
        call.priority,
        calls.time_left_ms(call.deadline_s),
        revision,
        reserve,
        call.prefix_key,
    )


async def probe_all(
    peers: pool.Pool,
    targets: collections.abc.Sequence[model.Target],
    message: messages.Probe,
) -> list[routes.ProbedTarget]:
    """Probes all targets and returns their replies in the order of `targets`.

    Targets that fail or do not reply in time are left out. After the
    first reply the others have `STRAGGLER_GRACE_S`, so that one slow agent
    does not delay the placement.
    """
    replies: dict[str, messages.ProbeReply] = {}

    async def probe(target: model.Target, scope: anyio.CancelScope) -> None:
        try:
            reply = await peers.call(
                target.agent, message, timeout_s=PROBE_TIMEOUT_S
            )
        except (exceptions.TransportError, TimeoutError) as error:
            logger.debug("probe of %s failed: %s", target.name, error)
            return
        if not isinstance(reply, messages.ProbeReply):
            return
        replies[target.name] = reply
        if reply.leaving:
            # It is no reason to choose without the others.
            return
        straggler_deadline_s = anyio.current_time() + STRAGGLER_GRACE_S
        scope.deadline = min(scope.deadline, straggler_deadline_s)

    with anyio.move_on_after(PROBE_TIMEOUT_S) as scope:
        async with anyio.create_task_group() as group:
            for target in targets:
                group.start_soon(probe, target, scope)
    return [
        routes.ProbedTarget(target, replies[target.name])
        for target in targets
        if target.name in replies
    ]
