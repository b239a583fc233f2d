"""What importing and exporting of kept blocks share."""

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
class KeptParts:
    """Parts of one agent that deal with kept blocks.

    Attributes:
      node: State of the agent.
      engine: Client of the engine.
      gate: Version gate of the engine.
      stores: Client of the stores.
      links: Budgets of limited links.
      visits: Learns which prompts return.
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
        """Returns this agent's part of the link to a store."""
        fleet = self.node.fleet
        sharers = sum(
            target.data_centre == self.data_centre
            and target.kind is model.TargetKind.ENGINE
            for target in fleet.targets.values()
        )
        return self.links.between(
            fleet, self.data_centre, store.data_centre, sharers
        )

    def recompute_ms(self, blocks: int) -> float:
        """Returns the expected time to compute blocks here."""
        computed = blocks * tokens.BLOCK_TOKENS
        return computed / self.node.admission.queue.tokens_per_s * 1000


def build(
    owner: node.Node,
    engine_client: engine.EngineClient,
    version_gate: gate.VersionGate,
    peers: pool.Pool,
    data_centre: str,
) -> KeptParts:
    """Returns the parts of an agent's kept blocks."""
    return KeptParts(
        owner,
        engine_client,
        version_gate,
        client.StoreClient(peers, build_locate(owner)),
        transfer.Links(anyio.current_time),
        returns.VisitTracker(),
        data_centre,
    )


def build_locate(
    owner: node.Node,
) -> collections.abc.Callable[[bytes], list[model.Target]]:
    """Returns a function that finds the stores of a prompt."""
    index = fleet_index.FleetIndex(lambda: owner.fleet)

    def locate(prefix_key: bytes) -> list[model.Target]:
        declared = owner.declared
        return index.stores(declared.serves, prefix_key) if declared else []

    return locate
