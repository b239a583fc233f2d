"""State that all components of one agent share."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.agent import messages

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.agent import admission
    from cactusstile.state import holder
    from cactusstile.state import model
    from cactusstile.transport import incoming

RETRY_ELSEWHERE_S = 0.5
STALE_RETRY_S = 1.0


@attrs.define(eq=False)
class Node:
    """State of one agent.

    Attributes:
      target: Name of the agent's target.
      incarnation: Random number of this start of the process.
      fleet_holder: Configuration in force at the agent.
      admission: Slots and queue of the target.
      drained: Whether an operator has drained the target.
      platform_leaving: Whether the platform lists the VM as leaving.
      stopping: Whether this process is shutting down.
      busy: Number of requests that are queued or running.
      idle: Set while no request is queued or running.
    """

    target: str
    incarnation: int
    fleet_holder: holder.FleetHolder
    admission: admission.Admission
    drained: bool = False
    platform_leaving: bool = False
    stopping: bool = False
    busy: int = 0
    idle: anyio.Event = attrs.field(factory=anyio.Event)

    @property
    def fleet(self) -> model.Fleet:
        """Configuration in force at the agent."""
        return self.fleet_holder.fleet

    @property
    def leaving(self) -> bool:
        """Whether the target is leaving and accepts no new work."""
        return self.drained or self.platform_leaving

    @property
    def declared(self) -> model.Target | None:
        """Declaration of the target in the fleet; None if there is none."""
        return self.fleet.targets.get(self.target)

    @property
    def accepts_work(self) -> bool:
        """Whether new requests are accepted."""
        confirmed = self.fleet_holder.confirmed.is_set()
        declared = self.declared is not None
        return confirmed and declared and not (self.leaving or self.stopping)

    def begin(self) -> None:
        """Records that a request was accepted."""
        if not self.busy:
            self.idle = anyio.Event()
        self.busy += 1

    def end(self) -> None:
        """Records that a request has ended."""
        self.busy -= 1
        if not self.busy:
            self.idle.set()

    def check_accepts_work(self) -> None:
        """Checks that new requests are accepted.

        Raises:
          RefusedError: If they are not; the request was not run.
        """
        if self.stopping:
            raise verdict.refuse(
                verdict.Reason.SHUTTING_DOWN,
                "the agent shuts down; try another target",
                retry_after_s=RETRY_ELSEWHERE_S,
            )
        if self.leaving:
            raise verdict.refuse(
                verdict.Reason.TARGET_LEAVING,
                "the target is leaving; try another one",
                retry_after_s=RETRY_ELSEWHERE_S,
            )
        if not self.fleet_holder.confirmed.is_set():
            raise verdict.refuse(
                verdict.Reason.STALE_CONFIGURATION,
                "the agent has no confirmed configuration yet",
                retry_after_s=STALE_RETRY_S,
            )

    def check_serves(self, serves: str) -> None:
        """Checks that the target serves a deployment or service.

        Raises:
          RefusedError: If it does not; the request was not run.
        """
        declared = self.declared
        if declared is None or declared.serves != serves:
            raise verdict.refuse(
                verdict.Reason.NO_TARGET,
                f"target {self.target} does not serve {serves!r} now",
                retry_after_s=RETRY_ELSEWHERE_S,
            )

    def check_workspace(
        self, name: str, allowed: tuple[str, ...], revision: int
    ) -> model.Workspace:
        """Returns a workspace after checking its access.

        Args:
          name: Name of the workspace.
          allowed: Workspaces that have access; empty allows all.
          revision: Configuration revision of the entry.

        Raises:
          RefusedError: If it has no access; the request was not run.
        """
        workspace = self.fleet.workspaces.get(name)
        if workspace is not None and (not allowed or name in allowed):
            return workspace
        if revision > self.fleet.revision:
            raise verdict.refuse(
                verdict.Reason.STALE_CONFIGURATION,
                "the agent does not have the entry's configuration yet",
                retry_after_s=STALE_RETRY_S,
            )
        raise verdict.refuse(
            verdict.Reason.UNAUTHENTICATED,
            f"workspace {name!r} may not use this",
        )

    def build_refused(self, refusal: verdict.Refusal) -> messages.Refused:
        """Returns the message that carries a refusal."""
        return messages.to_refused(refusal, self.fleet.revision)

    def drain(self, request: messages.Drain) -> messages.DrainReply:
        """Drains the target or cancels its drain, as an operator requests."""
        self.drained = request.leaving
        return messages.DrainReply(self.leaving, self.busy)


@attrs.frozen
class ServedCalls:
    """Call handlers and readiness of one kind of agent.

    Attributes:
      calls: Handlers of calls by message class.
      ready: Returns whether new work is accepted.
    """

    calls: dict[type, incoming.CallHandler]
    ready: collections.abc.Callable[[], bool]


def deadline_s(time_left_ms: int) -> float:
    """Converts remaining time to a deadline on the event loop's clock.

    A `time_left_ms` of 0 means no deadline.
    """
    if not time_left_ms:
        return float("inf")
    return anyio.current_time() + time_left_ms / 1000
