"""Messages between agents and stores.

`Have` ends with `HaveReply` and `Keep` with `KeepReply`. `Fetch` sends
`BlockPart` items and ends with `FetchEnd`.
"""

from __future__ import annotations

import attrs

from cactusstile import tokens
from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "store.capnp")

MAX_KEYS = 16_384
PART_BYTES = 256 * 1024
MAX_MESSAGE_BYTES = 1024 * 1024


@codec.register(0, _SCHEMA, "BlockScope")
@attrs.frozen
class BlockScope:
    """Scope of blocks; see `tokens.Scope`."""

    workspace: str
    deployment: str
    version: str
    adapter: str = ""


@codec.register(400, _SCHEMA, "Have")
@attrs.frozen
class Have:
    """Requests the number of a prompt's leading blocks in the store."""

    scope: BlockScope
    keys: tuple[bytes, ...]


@codec.register(401, _SCHEMA, "HaveReply")
@attrs.frozen
class HaveReply:
    """Number of leading blocks in the store and their total bytes."""

    blocks: int
    total_bytes: int


@codec.register(402, _SCHEMA, "Fetch")
@attrs.frozen
class Fetch:
    """Requests the content of blocks, in order."""

    scope: BlockScope
    keys: tuple[bytes, ...]


@codec.register(403, _SCHEMA, "BlockPart")
@attrs.frozen
class BlockPart:
    """Part of a block.

    Attributes:
      key: Key of the block.
      parent: Key of the preceding block; empty for the first block.
      position: Index of the block in its prompt, counted from 0.
      generation: Generation of the block in the store; 0 in an upload.
      checksum: Checksum of the complete block.
      total_bytes: Size of the complete block.
      recompute_us: Time to recompute the block, in microseconds.
      offset: Offset of `data` in the block, in bytes.
      data: Content of the part.
    """

    key: bytes
    parent: bytes
    position: int
    generation: int
    checksum: bytes
    total_bytes: int
    recompute_us: int
    offset: int
    data: bytes


@codec.register(404, _SCHEMA, "FetchEnd")
@attrs.frozen
class FetchEnd:
    """Ends a fetch with the number of blocks that were sent completely."""

    blocks: int


@codec.register(405, _SCHEMA, "Keep")
@attrs.frozen
class Keep:
    """Uploads parts of blocks to a store.

    Attributes:
      scope: Scope of the blocks.
      upload: Random number of the upload, the same in all parts of a block.
      parts: Parts in order; the last part of a block seals the block.
    """

    scope: BlockScope
    upload: int
    parts: tuple[BlockPart, ...]


@codec.register(406, _SCHEMA, "KeepReply")
@attrs.frozen
class KeepReply:
    """Number of leading parts accepted and why the next part was rejected."""

    parts: int
    reason: str = ""


@codec.register(407, _SCHEMA, "Free")
@attrs.frozen
class Free:
    """Frees all blocks that match the non-empty fields."""

    workspace: str
    deployment: str = ""
    version: str = ""
    key: bytes = b""


@codec.register(408, _SCHEMA, "FreeReply")
@attrs.frozen
class FreeReply:
    """Number of freed blocks."""

    blocks: int


def to_message(scope: tokens.Scope) -> BlockScope:
    """Converts a scope to a message."""
    return BlockScope(*scope)


def to_scope(message: BlockScope) -> tokens.Scope:
    """Converts a message to a scope."""
    return tokens.Scope(
        message.workspace, message.deployment, message.version, message.adapter
    )
