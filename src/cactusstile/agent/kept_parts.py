"""Components that import and export of stored blocks share."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile import tokens
from cactusstile.routing import fleet_index
from cactusstile.state import model
from cactusstile.store import client
from cactusstile.store import returns
from cactusstile.store import transfer

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.agent import gate
    from cactusstile.agent import node
    from cactusstile.limits import token_bucket
    from cactusstile.targets import engine
    from cactusstile.transport import pool


@attrs.frozen
class TransferParts:
    """Components of one agent that import and export stored blocks.

    Attributes:
      node: State of the agent.
      engine: Client of the engine.
      gate: Version gate of the engine.
      stores: Client of the stores.
      links: Bandwidth budgets of limited links.
      visits: Estimates which prompts return.
      data_centre: Data centre of this agent.
    """

    node: node.Node
    engine: engine.EngineClient
    gate: gate.VersionGate
    stores: client.StoreClient
    links: transfer.Links
    visits: returns.VisitTracker
    data_centre: str

    def link_to(self, store: model.Target) -> token_bucket.TokenBucket | None:
        """Returns this agent's budget of the link to a store.

        The budget is divided between the engines of the data centre.

        Returns:
          The budget; None if the link is not limited.
        """
        fleet = self.node.fleet
        engine_count = sum(
            target.data_centre == self.data_centre
            and target.kind is model.TargetKind.ENGINE
            for target in fleet.targets.values()
        )
        return self.links.between(
            fleet, self.data_centre, store.data_centre, engine_count
        )

    def recompute_ms(self, blocks: int) -> float:
        """Returns the expected time in ms to compute blocks at the engine."""
        computed = blocks * tokens.BLOCK_TOKENS
        return computed / self.node.admission.queue.tokens_per_s * 1000


def build(
    agent: node.Node,
    engine_client: engine.EngineClient,
    version_gate: gate.VersionGate,
    peers: pool.Pool,
    data_centre: str,
) -> TransferParts:
    """Returns the import and export components of an agent."""
    return TransferParts(
        agent,
        engine_client,
        version_gate,
        client.StoreClient(peers, build_store_locator(agent)),
        transfer.Links(anyio.current_time),
        returns.VisitTracker(),
        data_centre,
    )


def build_store_locator(
    agent: node.Node,
) -> collections.abc.Callable[[bytes], list[model.Target]]:
    """Returns a function that locates the stores of a prompt by its key."""
    index = fleet_index.FleetIndex(lambda: agent.fleet)

    def locate(prefix_key: bytes) -> list[model.Target]:
        declared = agent.declared
        return index.stores(declared.serves, prefix_key) if declared else []

    return locate
