"""Probes: asks several agents at once what they could do for a run."""

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

MAX_KEYS = 1024
MAX_PROBING = 32
MAX_WAITING = 512
RETRY_AFTER_WAITING_S = 1.0
PROBE_TIMEOUT_S = 1.0
STRAGGLER_GRACE_S = 0.02


class ProbeGate:
    """Bounds the requests that probe at once.

    Without it a burst makes the loop lag, the lag makes probes time out, and
    the refused requests come back as the next burst.

    Attributes:
      waiting: Requests that wait for their turn.
    """

    def __init__(self, max_probing: int = MAX_PROBING) -> None:
        """Lets `max_probing` requests probe at once."""
        self.waiting = 0
        self._turns = anyio.Semaphore(max_probing)

    @contextlib.asynccontextmanager
    async def enter(self) -> collections.abc.AsyncIterator[None]:
        """Holds a turn inside the context.

        Raises:
          RefusedError: If too many requests wait already.
        """
        if self.waiting >= MAX_WAITING:
            raise verdict.refuse(
                verdict.Reason.OVERLOADED,
                "this entry has too many requests to place",
                retry_after_s=RETRY_AFTER_WAITING_S,
            )
        self.waiting += 1
        try:
            await self._turns.acquire()
        finally:
            self.waiting -= 1
        try:
            yield
        finally:
            self._turns.release()


def build(
    call: calls.PromptCall,
    keys: tuple[bytes, ...],
    *,
    revision: int,
    reserve: bool,
) -> messages.Probe:
    """Returns the probe of a call."""
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
    """Returns the answers, in the order of `targets`.

    Waits for a straggler only a moment longer than for the first answer.
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
        latest_s = anyio.current_time() + STRAGGLER_GRACE_S
        scope.deadline = min(scope.deadline, latest_s)

    with anyio.move_on_after(PROBE_TIMEOUT_S) as scope:
        async with anyio.create_task_group() as group:
            for target in targets:
                group.start_soon(probe, target, scope)
    return [
        routes.ProbedTarget(target, replies[target.name])
        for target in targets
        if target.name in replies
    ]
