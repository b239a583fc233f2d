"""What the stores keep of a prompt, as an entry asks them."""

from __future__ import annotations

import typing

from cactusstile import tokens
from cactusstile.store import client

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.entry import calls
    from cactusstile.routing import fleet_index
    from cactusstile.transport import pool


async def find_nothing(
    _call: calls.PromptCall,
    _version: str,
    _keys: collections.abc.Sequence[bytes],
) -> client.StoredPrefix:
    """Asks no store."""
    return client.StoredPrefix(None)


class KeptFinder:
    """Asks a prompt's store what it keeps of it.

    The answer weighs fetching against computing and decides no content: the
    agent that runs the prompt asks again, and verifies what it fetches.
    """

    def __init__(self, peers: pool.Pool, index: fleet_index.FleetIndex) -> None:
        """Asks through `peers` the stores that `index` names."""
        self._peers = peers
        self._index = index
        self._clients: dict[str, client.StoreClient] = {}

    async def find(
        self,
        call: calls.PromptCall,
        version: str,
        keys: collections.abc.Sequence[bytes],
    ) -> client.StoredPrefix:
        """Returns what the store keeps; nothing if it does not answer.

        Args:
          call: The prompt.
          version: Weight version that `keys` were computed for.
          keys: Keys of the prompt's leading blocks.
        """
        scope = tokens.Scope(
            call.workspace, call.deployment, version, call.adapter
        )
        stores = self._client_of(call.deployment)
        return await stores.have(scope, call.prefix_key, keys)

    def _client_of(self, deployment: str) -> client.StoreClient:
        known = self._clients.get(deployment)
        if known is not None:
            return known
        created = client.StoreClient(
            self._peers, lambda key: self._index.stores(deployment, key)
        )
        self._clients[deployment] = created
        return created
