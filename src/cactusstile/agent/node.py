"""What all parts of one agent share."""

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
      target: Name of the target beside it.
      incarnation: Number drawn anew at each start of the process.
      fleet_holder: Configuration in force here.
      admission: Slots and queue of the target.
      drained: Whether an operator told the target to leave.
      platform_leaving: Whether the platform lists the VM as leaving.
      stopping: Whether this process shuts down.
      busy: Requests that are queued or under way.
      idle: Set while no request is queued or under way.
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
        """Configuration in force here."""
        return self.fleet_holder.fleet

    @property
    def leaving(self) -> bool:
        """Whether the target takes no new work for good."""
        return self.drained or self.platform_leaving

    @property
    def declared(self) -> model.Target | None:
        """The target as the fleet declares it."""
        return self.fleet.targets.get(self.target)

    @property
    def takes_work(self) -> bool:
        """Whether new requests are accepted."""
        confirmed = self.fleet_holder.confirmed.is_set()
        declared = self.declared is not None
        return confirmed and declared and not (self.leaving or self.stopping)

    def begin(self) -> None:
        """Notes that a request was accepted."""
        if not self.busy:
            self.idle = anyio.Event()
        self.busy += 1

    def end(self) -> None:
        """Notes that a request is over."""
        self.busy -= 1
        if not self.busy:
            self.idle.set()

    def check_takes_work(self) -> None:
        """Returns if new requests are accepted.

        Raises:
          RefusedError: If not; the request was not run.
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
        """Returns if the target serves a deployment or service.

        Raises:
          RefusedError: If not; the request was not run.
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
        """Returns a workspace that may use what is asked for.

        Args:
          name: Name of the workspace.
          allowed: Workspaces that may; empty admits all.
          revision: Configuration revision of the entry.

        Raises:
          RefusedError: If it may not; the request was not run.
        """
        found = self.fleet.workspaces.get(name)
        if found is not None and (not allowed or name in allowed):
            return found
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

    def refused(self, refusal: verdict.Refusal) -> messages.Refused:
        """Returns the message that carries a refusal."""
        return messages.to_refused(refusal, self.fleet.revision)

    def drain(self, request: messages.Drain) -> messages.DrainReply:
        """Carries out an operator's drain."""
        self.drained = request.leaving
        return messages.DrainReply(self.leaving, self.busy)


@attrs.frozen
class ServedCalls:
    """What one kind of agent adds to the listener.

    Attributes:
      calls: Handlers of calls by message class.
      ready: Returns whether new work is taken now.
    """

    calls: dict[type, incoming.CallHandler]
    ready: collections.abc.Callable[[], bool]


def deadline_s(time_left_ms: int) -> float:
    """Returns a deadline on the loop's clock from a time left."""
    if not time_left_ms:
        return float("inf")
    return anyio.current_time() + time_left_ms / 1000
