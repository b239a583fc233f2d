"""Current state of the targets and links of a fleet, as reported by agents."""

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
MAX_CONCURRENT_QUERIES = 128
NOT_QUERIED = "not asked in time"


@attrs.frozen
class TargetView:
    """A declared target and the reply of its agent.

    Attributes:
      name: Name of the target.
      kind: Value of `model.TargetKind`.
      data_centre: Data centre of the target's VM.
      serves: Deployment or service; empty for a store.
      state: Reply of the agent; None if there is none.
      problem: Why there is no reply; empty if there is one.
    """

    name: str
    kind: str
    data_centre: str
    serves: str
    state: status.TargetState | None = None
    problem: str = ""


@attrs.frozen
class LinkView:
    """A limited link and its usage by the agents that answered.

    Attributes:
      one: Data centre at one end.
      other: Data centre at the other end.
      bytes_per_s: Bandwidth that the fleet declares.
      sent_bytes: Bytes granted since the start of each agent, summed.
      recent_bytes_per_s: Recent mean rate, mostly of the last 10 s, summed.
    """

    one: str
    other: str
    bytes_per_s: float
    sent_bytes: int = 0
    recent_bytes_per_s: int = 0


async def query_targets(
    connections: pool.Pool, fleet: model.Fleet
) -> list[TargetView]:
    """Queries the agents of all targets, up to a limit concurrently.

    Waits at most `TARGET_TIMEOUT_S` for each and `TOTAL_TIMEOUT_S` for all.

    Returns:
      One view for each target, sorted by name.
    """
    views = {
        name: TargetView(
            name,
            target.kind.value,
            target.data_centre,
            target.serves,
            problem=NOT_QUERIED,
        )
        for name, target in sorted(fleet.targets.items())
    }
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

    async def query(target: model.Target) -> None:
        async with limiter:
            view = views[target.name]
            views[target.name] = await _query_agent(connections, target, view)

    with anyio.move_on_after(TOTAL_TIMEOUT_S):
        async with anyio.create_task_group() as group:
            for target in fleet.targets.values():
                group.start_soon(query, target)
    return list(views.values())


def sum_link_usage(
    fleet: model.Fleet, views: list[TargetView]
) -> list[LinkView]:
    """Returns the usage of each declared link, summed over all agents."""
    link_views = {
        pair: LinkView(*pair, link.bytes_per_s)
        for pair, link in sorted(fleet.links.items())
    }
    for view in views:
        for reported in view.state.links if view.state is not None else ():
            link = link_views.get((reported.one, reported.other))
            if link is None:
                continue
            link_views[reported.one, reported.other] = attrs.evolve(
                link,
                sent_bytes=link.sent_bytes + reported.sent_bytes,
                recent_bytes_per_s=link.recent_bytes_per_s
                + reported.recent_bytes_per_s,
            )
    return list(link_views.values())


async def _query_agent(
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
