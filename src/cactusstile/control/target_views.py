"""The targets, stores and links of a fleet as their agents tell them now."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile.agent import status
from cactusstile.transport import exceptions

if typing.TYPE_CHECKING:
    from cactusstile.state import model
    from cactusstile.transport import pool

TARGET_TIMEOUT_S = 1.0
TOTAL_TIMEOUT_S = 8.0
MAX_ASKING = 128
NOT_ASKED = "not asked in time"


@attrs.frozen
class TargetView:
    """A declared target with what its agent answered.

    Attributes:
      name: Name of the target.
      kind: Value of `model.TargetKind`.
      data_centre: Data centre of its VM.
      serves: Deployment or service; empty for a store.
      state: Answer of its agent; None without one.
      problem: Why there is no answer; empty with one.
    """

    name: str
    kind: str
    data_centre: str
    serves: str
    state: status.TargetState | None = None
    problem: str = ""


@attrs.frozen
class LinkView:
    """A limited link with its use by the agents that answered.

    Attributes:
      one: A data centre.
      other: The other one.
      bytes_per_s: Bandwidth that the fleet declares.
      sent_bytes: Bytes granted since each agent started.
      recent_bytes_per_s: Mean rate of late, mostly of the last 10 s.
    """

    one: str
    other: str
    bytes_per_s: float
    sent_bytes: int = 0
    recent_bytes_per_s: int = 0


async def query_targets(
    connections: pool.Pool, fleet: model.Fleet
) -> list[TargetView]:
    """Asks the agents of all targets, many at once.

    Waits at most `TARGET_TIMEOUT_S` for one and `TOTAL_TIMEOUT_S` for all.

    Returns:
      One view for each target, in order of names.
    """
    views = {
        name: TargetView(
            name,
            target.kind.value,
            target.data_centre,
            target.serves,
            problem=NOT_ASKED,
        )
        for name, target in sorted(fleet.targets.items())
    }
    turns = anyio.CapacityLimiter(MAX_ASKING)

    async def ask(target: model.Target) -> None:
        async with turns:
            view = views[target.name]
            views[target.name] = await _ask(connections, target, view)

    with anyio.move_on_after(TOTAL_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            for target in fleet.targets.values():
                group.start_soon(ask, target)
    return list(views.values())


def sum_link_usage(
    fleet: model.Fleet, views: list[TargetView]
) -> list[LinkView]:
    """Returns the use of each declared link by all agents that answered."""
    found = {
        pair: LinkView(*pair, link.bytes_per_s)
        for pair, link in sorted(fleet.links.items())
    }
    for view in views:
        for used in view.state.links if view.state is not None else ():
            link = found.get((used.one, used.other))
            if link is None:
                continue
            found[used.one, used.other] = attrs.evolve(
                link,
                sent_bytes=link.sent_bytes + used.sent_bytes,
                recent_bytes_per_s=link.recent_bytes_per_s
                + used.recent_bytes_per_s,
            )
    return list(found.values())


async def _ask(
    connections: pool.Pool, target: model.Target, view: TargetView
) -> TargetView:
    try:
        with anyio.fail_after(TARGET_TIMEOUT_S):
            reply = await connections.call(
                target.agent,
                status.ReadTargetState(),
                timeout_s=TARGET_TIMEOUT_S,
            )
    except exceptions.RemoteError as error:
        return attrs.evolve(view, problem=f"refuses: {error.message}")
    except exceptions.AuthenticationError:
        problem = "refuses the operators' secret"
        return attrs.evolve(view, problem=problem)
    except (exceptions.TransportError, TimeoutError):
        return attrs.evolve(view, problem="does not answer")
    if not isinstance(reply, status.TargetState):
        return attrs.evolve(view, problem="answers in another way")
    return attrs.evolve(view, state=reply, problem="")
