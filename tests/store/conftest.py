from __future__ import annotations

import collections.abc
import itertools
import pathlib

import attrs
import pytest

from cactusstile import tokens
from cactusstile.state import model
from cactusstile.store import block_store
from cactusstile.store import blocks
from cactusstile.store import client
from cactusstile.store import daemon
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import pool

SCOPE = tokens.Scope("bank", "chat", "v1")
SECRETS = handshake.Secrets(b"fleet-secret")
LOCAL = address.Address("127.0.0.1", 0)


def make_blocks(
    count: int,
    *,
    first: int = 0,
    size: int = 100,
    scope: tokens.Scope = SCOPE,
    recompute_us: int = 1000,
) -> list[blocks.Block]:
    """Returns the chained blocks of a prompt of tokens from `first` on."""
    length = count * tokens.BLOCK_TOKENS
    keys = tokens.block_keys(scope, range(first, first + length))
    result = []
    for position, key in enumerate(keys):
        parent = keys[position - 1] if position else b""
        data = (key * (size // len(key) + 1))[:size]
        checksum = blocks.checksum(scope, key, data)
        result.append(
            blocks.Block(key, parent, position, data, checksum, recompute_us)
        )
    return result


def make_block_store(
    memory_bytes: int, disk_bytes: int = 0, **options: object
) -> block_store.BlockStore:
    """Returns a block store whose clock advances by 1 s at each call."""
    ticks = itertools.count()
    return block_store.BlockStore(
        block_store.Bounds(memory_bytes, disk_bytes),
        lambda: float(next(ticks)),
        **options,  # type: ignore[arg-type]
    )


@attrs.frozen
class Bench:
    """A running store and a client of it."""

    settings: daemon.Settings
    store: daemon.Store
    client: client.StoreClient


@pytest.fixture
async def bench(
    tmp_path: pathlib.Path,
) -> collections.abc.AsyncIterator[Bench]:
    settings = daemon.Settings(
        "s1", LOCAL, SECRETS, tmp_path, block_store.Bounds(4_000_000, 4_000_000)
    )
    identity = handshake.Identity("agent", "a1")
    async with (
        daemon.open_store(settings) as store,
        pool.open_pool(identity, SECRETS) as peers,
    ):
        target = model.Target(
            "s1", model.TargetKind.STORE, store.bound, "ikeja"
        )
        yield Bench(
            settings, store, client.StoreClient(peers, lambda _: [target])
        )
