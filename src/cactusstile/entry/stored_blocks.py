"""Queries of the stores for the stored KV cache blocks of a prompt."""

from __future__ import annotations

import typing

from cactusstile import tokens
from cactusstile.store import client

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.entry import calls
    from cactusstile.routing import fleet_index
    from cactusstile.transport import pool


async def find_no_blocks(
    _call: calls.PromptCall,
    _version: str,
    _keys: collections.abc.Sequence[bytes],
) -> client.StoredPrefix:
    """Returns that nothing is stored, without querying a store."""
    return client.StoredPrefix(None)


class StoredBlockFinder:
    """Queries the store of a prompt for the blocks that it holds.

    The reply only helps to compare the cost of fetching blocks with that of
    recomputing them. It does not affect correctness: the agent that runs the
    prompt queries the store itself and verifies the blocks that it fetches.
    """

    def __init__(self, peers: pool.Pool, index: fleet_index.FleetIndex) -> None:
        """Connects through `peers` to the stores that `index` selects."""
        self._peers = peers
        self._index = index
        self._clients: dict[str, client.StoreClient] = {}

    async def find(
        self,
        call: calls.PromptCall,
        version: str,
        keys: collections.abc.Sequence[bytes],
    ) -> client.StoredPrefix:
        """Returns what the store holds; nothing if it does not reply.

        Args:
          call: The prompt.
          version: Weight version for which `keys` were computed.
          keys: Keys of the prompt's leading blocks.
        """
        scope = tokens.Scope(
            call.workspace, call.deployment, version, call.adapter
        )
        stores = self._client_for(call.deployment)
        return await stores.have(scope, call.prefix_key, keys)

    def _client_for(self, deployment: str) -> client.StoreClient:
        existing = self._clients.get(deployment)
        if existing is not None:
            return existing
        created = client.StoreClient(
            self._peers, lambda key: self._index.stores(deployment, key)
        )
        self._clients[deployment] = created
        return created
