"""Fake weight store that bounds concurrent transfers."""

from __future__ import annotations

import typing

import anyio
import attrs
from starlette import applications
from starlette import responses
from starlette import routing

if typing.TYPE_CHECKING:
    from starlette import requests

TOO_MANY_REQUESTS = 429


@attrs.define
class WeightStore:
    """State of a fake weight store.

    Attributes:
      max_transfers: Maximum number of concurrent transfers; more are refused.
      transfer_s: Duration of a transfer in seconds.
      active: Number of transfers in progress.
      peak: Highest value of `active` so far.
      refused: Number of refused transfers.
      fetched: All requested weights as (model, version), also refused ones.
    """

    max_transfers: int = 2
    transfer_s: float = 0.1
    active: int = 0
    peak: int = 0
    refused: int = 0
    fetched: list[tuple[str, str]] = attrs.field(factory=list)

    async def fetch(self, model: str, version: str) -> bool:
        """Transfers weights; returns False if the store is at its limit."""
        self.fetched.append((model, version))
        if self.active >= self.max_transfers:
            self.refused += 1
            return False
        self.active += 1
        self.peak = max(self.peak, self.active)
        try:
            await anyio.sleep(self.transfer_s)
        finally:
            self.active -= 1
        return True


def build_app(store: WeightStore) -> applications.Starlette:
    """Returns the ASGI application of a weight store."""

    async def limits(_: requests.Request) -> responses.Response:
        limit = {
            "max_transfers": store.max_transfers,
            "active": store.active,
            "transfer_s": store.transfer_s,
        }
        return responses.JSONResponse(limit)

    async def weights(request: requests.Request) -> responses.Response:
        path = request.path_params
        if await store.fetch(path["model"], path["version"]):
            return responses.JSONResponse({"model": path["model"]})
        return responses.JSONResponse(
            {"error": "too many transfers"},
            TOO_MANY_REQUESTS,
            {"Retry-After": "1"},
        )

    return applications.Starlette(
        routes=[
            routing.Route("/limits", limits),
            routing.Route("/weights/{model}/{version}", weights),
        ]
    )
