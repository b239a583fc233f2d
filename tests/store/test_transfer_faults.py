"""Blocks that change during a transfer, with and without checks."""

from __future__ import annotations

import collections.abc
import typing

import anyio
import attrs
import pytest
from tests.store import conftest

from cactusstile.store import block_store
from cactusstile.store import blocks
from cactusstile.store import client
from cactusstile.store import daemon
from cactusstile.store import exceptions
from cactusstile.store import messages
from cactusstile.transport import incoming

pytestmark = pytest.mark.anyio

SIZE = 3 * messages.PART_BYTES
Fault: typing.TypeAlias = collections.abc.Callable[
    [block_store.BlockStore, blocks.Block], None
]


def _free(stored: block_store.BlockStore, block: blocks.Block) -> None:
    stored.free(stored.records[block.key])


def _overwrite(stored: block_store.BlockStore, block: blocks.Block) -> None:
    """Frees the block and stores other content under its key.

    This happens when two engines export the same prompt with different
    rounding.
    """
    _free(stored, block)
    data = bytes(len(block.data))
    checksum = blocks.checksum(conftest.SCOPE, block.key, data)
    stored.keep(
        conftest.SCOPE, attrs.evolve(block, data=data, checksum=checksum)
    )


def _corrupt(stored: block_store.BlockStore, block: blocks.Block) -> None:
    path = _move_to_disk(stored, block)
    with path.open("r+b") as file:
        file.seek(-10, 2)
        file.write(b"corruption")


def _truncate(stored: block_store.BlockStore, block: blocks.Block) -> None:
    path = _move_to_disk(stored, block)
    with path.open("r+b") as file:
        file.truncate(path.stat().st_size - messages.PART_BYTES - 10)


def _move_to_disk(
    stored: block_store.BlockStore, block: blocks.Block
) -> typing.Any:
    stored.flush()
    assert stored.disk is not None
    return stored.disk._path(block.key)


FAULTS: list[Fault] = [_free, _overwrite, _corrupt, _truncate]


@pytest.fixture
def fault_after_first_part(
    monkeypatch: pytest.MonkeyPatch, bench: conftest.Bench
) -> collections.abc.Callable[[Fault, blocks.Block], None]:
    """Returns a function that injects a fault after a block's first part."""

    def inject(fault: Fault, block: blocks.Block) -> None:
        send = incoming.Responder.send
        fired = anyio.Event()

        async def send_then_inject(
            self: incoming.Responder, item: object
        ) -> None:
            await send(self, item)
            part = typing.cast("messages.BlockPart", item)
            if part.key == block.key and not fired.is_set():
                fired.set()
                fault(bench.store.stored, block)

        monkeypatch.setattr(incoming.Responder, "send", send_then_inject)

    return inject


def _disable_checks(monkeypatch: pytest.MonkeyPatch) -> None:
    """Serves and accepts parts without generation, length or checksum."""

    def read_any(
        self: block_store.BlockStore, header: typing.Any, offset: int, size: int
    ) -> bytes:
        record = self.records.get(header.key)
        if record is None:
            return bytes(min(size, header.size - offset))
        if record.data is not None:
            return record.data[offset : offset + size]
        assert self.disk is not None
        data = self.disk._path(header.key).read_bytes()[-header.size :]
        return data[offset : offset + size].ljust(
            min(size, header.size - offset), b"\0"
        )

    monkeypatch.setattr(block_store.BlockStore, "read", read_any)
    monkeypatch.setattr(client, "_follows", _accept)
    monkeypatch.setattr(client, "_is_sound", _accept)
    monkeypatch.setattr(daemon._Service, "is_whole", _accept)


def _accept(*arguments: object) -> bool:
    return True


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("checked", [True, False])
async def test_fetch_never_returns_block_changed_in_mid_transfer(
    bench: conftest.Bench,
    monkeypatch: pytest.MonkeyPatch,
    fault_after_first_part: collections.abc.Callable[..., None],
    fault: Fault,
    checked: bool,
) -> None:
    exported = conftest.make_blocks(2, size=SIZE)
    assert await bench.client.keep(conftest.SCOPE, b"p", exported) == 2
    fault_after_first_part(fault, exported[1])
    if not checked:
        _disable_checks(monkeypatch)
    keys = [block.key for block in exported]
    fetched = await bench.client.fetch(
        conftest.SCOPE, b"p", keys, time_left_s=5
    )
    if checked:
        assert fetched == exported[:1]
        return
    assert fetched[1].data != exported[1].data


@pytest.mark.parametrize(
    "other",
    [
        conftest.SCOPE._replace(workspace="hospital"),
        conftest.SCOPE._replace(version="v2"),
    ],
)
async def test_fetch_refuses_keys_of_another_scope(
    bench: conftest.Bench, other: typing.Any
) -> None:
    exported = conftest.make_blocks(2)
    await bench.client.keep(conftest.SCOPE, b"p", exported)
    keys = [block.key for block in exported]
    assert (await bench.client.have(other, b"p", keys)).blocks == 0
    assert not await bench.client.fetch(other, b"p", keys, time_left_s=1)
    with pytest.raises(exceptions.CorruptBlockError):
        blocks.verify(other, exported[0])


async def test_unsealed_block_cannot_be_read(bench: conftest.Bench) -> None:
    exported = conftest.make_blocks(1, size=SIZE)
    parts = [part for batch in client._pack(exported) for part in batch]
    store = bench.client.store_of(b"p")
    assert store is not None
    scope = messages.to_message(conftest.SCOPE)
    partial = messages.Keep(scope, 1, tuple(parts[:-1]))
    reply = await bench.client._peers.call(store.agent, partial, timeout_s=1)
    assert reply == messages.KeepReply(len(parts) - 1)
    keys = [exported[0].key]
    assert (await bench.client.have(conftest.SCOPE, b"p", keys)).blocks == 0
    last_part = messages.Keep(scope, 1, tuple(parts[-1:]))
    await bench.client._peers.call(store.agent, last_part, timeout_s=1)
    assert (await bench.client.have(conftest.SCOPE, b"p", keys)).blocks == 1


async def test_fetch_from_slow_store_returns_at_the_time_limit(
    bench: conftest.Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    exported = conftest.make_blocks(3)
    await bench.client.keep(conftest.SCOPE, b"p", exported)
    send = incoming.Responder.send

    async def send_slowly(self: incoming.Responder, item: object) -> None:
        await send(self, item)
        await anyio.sleep(0.2)

    monkeypatch.setattr(incoming.Responder, "send", send_slowly)
    keys = [block.key for block in exported]
    with anyio.fail_after(0.3):
        fetched = await bench.client.fetch(
            conftest.SCOPE, b"p", keys, time_left_s=0.1
        )
    assert fetched == exported[:1]
