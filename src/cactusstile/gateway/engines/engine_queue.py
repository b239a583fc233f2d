"""Sends a request at once, lets it wait briefly, or refuses it.

A prompt waits while no engine has memory for it, or the weights that it needs,
as long as its answer can still meet the objective of its route. Longer waits
would only make all answers late: the caller is told when to return instead. A
workspace that asks for far more than the others waits behind them and leaves
room for them.
"""

from __future__ import annotations

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import dispatching
from cactusstile.gateway import retries
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import engine_memory
from cactusstile.gateway.engines import return_times
from cactusstile.gateway.engines import waitlist
from cactusstile.limits import recent_use
from cactusstile.sites import model

# Fraction of the latency objective that a prompt may wait here; prefill and the
# queue of the engine take the rest.
WAIT_FRACTION = 0.25


class EngineQueue:
    """Queue of the prompts that wait for memory.

    Attributes:
      dispatcher: Chooses targets.
      waiting: Waiting prompts, by service.
      times: When refused callers may return.
      use: Memory that workspaces asked for lately.
    """

    def __init__(self, dispatcher: dispatching.Dispatcher) -> None:
        """Creates an empty queue in front of `dispatcher`."""
        self.dispatcher = dispatcher
        self.waiting: dict[str, waitlist.Waitlist] = {}
        self.times = return_times.ReturnTimes()
        self.use = recent_use.RecentUse(anyio.current_time)

    async def choose_target(
        self,
        admitted: admission.AdmittedRequest,
        service: str,
        attempts: retries.Attempts,
    ) -> target_view.TargetView | None:
        """Returns the target of the next attempt; None if none is left.

        Only a first attempt waits: repeats have waited long enough.

        Raises:
          RefusedError: No engine has room within the wait.
        """
        if (
            admitted.route.kind is not model.Kind.STREAM
            or attempts.tried_incarnations
        ):
            if not attempts.tried_incarnations:
                self.dispatcher.refuse_if_paused(admitted, service, 0.0)
            return self.dispatcher.choose_target(admitted, service, attempts)
        if not self.dispatcher.untried(admitted, service, attempts):
            return None
        return await self._wait_for_room(admitted, service, attempts)

    async def _wait_for_room(
        self,
        admitted: admission.AdmittedRequest,
        service: str,
        attempts: retries.Attempts,
    ) -> target_view.TargetView:
        """Returns an engine with room for a prompt.

        Raises:
          RefusedError: No engine has room within the wait.
        """
        needed = engine_memory.needed_tokens(admitted.prompt, 0)
        is_storming = self._is_storming(admitted, needed)
        limit = engine_memory.limit_fraction(
            admitted.least_urgent - admitted.engine_priority - is_storming
        )
        until_s = admitted.request.received_s
        until_s += WAIT_FRACTION * admitted.route.objective_s

        def try_take() -> target_view.TargetView | None:
            self.dispatcher.refuse_if_paused(admitted, service, until_s)
            return self.dispatcher.choose_target(
                admitted, service, attempts, memory_limit=limit
            )

        # Only the first in the queue tries to take; others are refused here.
        self.dispatcher.refuse_if_paused(admitted, service, until_s)
        waiting = self.waiting.setdefault(service, waitlist.Waitlist())
        view = await waiting.wait(
            2 * admitted.engine_priority + is_storming,
            needed,
            until_s,
            try_take,
        )
        if view is None:
            self.dispatcher.refuse_if_paused(admitted, service, 0.0)
            raise self._refuse(admitted, needed)
        return view

    def _is_storming(
        self, admitted: admission.AdmittedRequest, needed: int
    ) -> bool:
        """Returns whether a workspace asks for far more than the others."""
        if admitted.workspace is None:
            return False
        name = admitted.workspace.name
        self.use.record(name, needed)
        return self.use.is_storming(name)

    def _refuse(
        self, admitted: admission.AdmittedRequest, needed: int
    ) -> verdict.RefusedError:
        now_s = anyio.current_time()
        remaining_s = admitted.caller_deadline_s - now_s
        return verdict.refuse(
            verdict.Reason.OVERLOADED,
            "no engine has room for the prompt; retry later",
            retry_after_s=self.times.retry_after_s(needed, remaining_s, now_s),
        )
