"""Store process, next to a store VM: serves stored blocks to agents."""

from __future__ import annotations

import contextlib
import logging
import pathlib
import typing

import anyio
import attrs

from cactusstile.agent import status
from cactusstile.store import block_store
from cactusstile.store import blocks
from cactusstile.store import disk
from cactusstile.store import exceptions
from cactusstile.store import messages
from cactusstile.store import uploads
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import server

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

_BLOCKS_FOLDER = "blocks"


@attrs.frozen
class Settings:
    """Settings of a store process.

    Attributes:
      name: Name of the store target.
      listen: Address to listen on.
      secrets: Secrets of the deployment.
      data_folder: Folder of the disk tier; not used without a disk tier.
      bounds: Bounds of both tiers.
    """

    name: str
    listen: address.Address
    secrets: handshake.Secrets
    data_folder: pathlib.Path
    bounds: block_store.Bounds


@attrs.frozen
class Store:
    """A running store.

    Attributes:
      bound: Address on which the store listens.
      stored: Blocks of the store.
    """

    bound: address.Address
    stored: block_store.BlockStore


@attrs.frozen
class _Service:
    """Call handlers of a store."""

    stored: block_store.BlockStore
    uploads: uploads.Uploads

    async def have(
        self,
        responder: incoming.Responder,  # noqa: ARG002
        message: messages.Have,
    ) -> messages.HaveReply:
        _check_key_count(message.keys)
        scope = messages.to_scope(message.scope)
        records = self.stored.leading(scope, message.keys)
        size = sum(record.header.size for record in records)
        return messages.HaveReply(len(records), size)

    async def fetch(
        self, responder: incoming.Responder, message: messages.Fetch
    ) -> messages.FetchEnd:
        _check_key_count(message.keys)
        scope = messages.to_scope(message.scope)
        sent = 0
        for key in message.keys:
            record = self.stored.find(scope, key)
            if record is None:
                break
            try:
                await self._send(responder, record)
            except exceptions.StoreError:
                break
            sent += 1
        return messages.FetchEnd(sent)

    async def keep(
        self,
        responder: incoming.Responder,  # noqa: ARG002
        message: messages.Keep,
    ) -> messages.KeepReply:
        scope = messages.to_scope(message.scope)
        for count, part in enumerate(message.parts):
            try:
                block = self.uploads.add(scope, message.upload, part)
                if block is not None:
                    self.stored.keep(scope, block)
            except exceptions.StoreError as error:
                return messages.KeepReply(count, str(error))
        return messages.KeepReply(len(message.parts))

    async def free(
        self,
        responder: incoming.Responder,  # noqa: ARG002
        message: messages.Free,
    ) -> messages.FreeReply:
        if not message.workspace:
            raise transport_exceptions.RemoteError(
                "bad_request", "name the workspace whose blocks are freed"
            )
        return messages.FreeReply(free_matching(self.stored, message))

    def is_whole(self, header: disk.Header, checksum: bytes) -> bool:
        """Returns whether the checksum matches; frees the block if not."""
        if checksum == header.checksum:
            return True
        self.stored.drop_corrupt(header)
        return False

    async def _send(
        self, responder: incoming.Responder, record: block_store.Record
    ) -> None:
        """Sends a block in parts; fails if the block is freed meanwhile."""
        header = record.header
        self.stored.visit(record)
        digest = blocks.start_checksum(header.scope, header.key)
        offset = 0
        while True:
            data = self.stored.read(header, offset, messages.PART_BYTES)
            if not data and offset < header.size:
                self.stored.drop_corrupt(header)
                raise exceptions.CorruptBlockError("content is truncated")
            digest.update(data)
            last = offset + len(data) >= header.size
            if last and not self.is_whole(header, digest.digest()):
                raise exceptions.CorruptBlockError(
                    "content does not match its checksum"
                )
            part = messages.BlockPart(
                header.key,
                header.parent,
                header.position,
                header.generation,
                header.checksum,
                header.size,
                header.recompute_us,
                offset,
                data,
            )
            await responder.send(part)
            offset += len(data)
            if last:
                return


def free_matching(
    stored: block_store.BlockStore, message: messages.Free
) -> int:
    """Frees blocks that match all non-empty fields; returns their number."""
    count = 0
    for record in list(stored.records.values()):
        header = record.header
        scope = header.scope
        if (
            stored.records.get(header.key) is record
            and scope.workspace == message.workspace
            and message.deployment in ("", scope.deployment)
            and message.version in ("", scope.version)
            and message.key in (b"", header.key)
        ):
            count += stored.free(record)
    return count


@contextlib.asynccontextmanager
async def open_store(
    settings: Settings,
    find_revision: collections.abc.Callable[[], int] = lambda: 0,
) -> collections.abc.AsyncIterator[Store]:
    """Serves until the context exits, then moves blocks from memory to disk.

    Args:
      settings: Settings of the store.
      find_revision: Returns the configuration revision in force in this
        process.

    Raises:
      OSError: If the address or the data folder cannot be used.
    """
    tier = None
    if settings.bounds.disk_bytes:
        tier = disk.DiskTier(settings.data_folder / _BLOCKS_FOLDER)
    stored = block_store.BlockStore(settings.bounds, anyio.current_time, tier)
    logger.info("store %s holds %d blocks", settings.name, len(stored.records))
    service = _Service(stored, uploads.Uploads(anyio.current_time))
    handlers = incoming.Handlers(
        calls={
            messages.Have: service.have,
            messages.Fetch: service.fetch,
            messages.Keep: service.keep,
            messages.Free: service.free,
            status.ReadTargetState: status.serve(
                lambda: _target_state(stored, find_revision())
            ),
        }
    )
    identity = handshake.Identity("store", settings.name)
    async with server.open_server(
        settings.listen, identity, settings.secrets, handlers
    ) as opened:
        yield Store(opened.bound, stored)
    stored.flush()


def _target_state(
    stored: block_store.BlockStore, revision: int
) -> status.TargetState:
    return status.TargetState(
        revision=revision,
        ready=True,
        blocks=len(stored.records),
        memory_bytes=stored.memory_bytes,
        memory_bound_bytes=stored.bounds.memory_bytes,
        disk_bytes=stored.disk.used_bytes if stored.disk is not None else 0,
        disk_bound_bytes=stored.bounds.disk_bytes,
    )


async def run_store(
    settings: Settings,
    *,
    task_status: anyio.abc.TaskStatus[Store] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Serves until cancelled; see `open_store`."""
    async with open_store(settings) as store:
        task_status.started(store)
        await anyio.sleep_forever()


def _check_key_count(keys: tuple[bytes, ...]) -> None:
    if len(keys) > messages.MAX_KEYS:
        raise transport_exceptions.RemoteError(
            "too_large", f"at most {messages.MAX_KEYS} keys in a message"
        )
