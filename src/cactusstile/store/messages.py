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
    """Asks how many of a prompt's leading blocks are kept."""

    scope: BlockScope
    keys: tuple[bytes, ...]


@codec.register(401, _SCHEMA, "HaveReply")
@attrs.frozen
class HaveReply:
    """Counts the leading blocks that are kept, and their bytes."""

    blocks: int
    total_bytes: int


@codec.register(402, _SCHEMA, "Fetch")
@attrs.frozen
class Fetch:
    """Asks for the content of blocks, in order."""

    scope: BlockScope
    keys: tuple[bytes, ...]


@codec.register(403, _SCHEMA, "BlockPart")
@attrs.frozen
class BlockPart:
    """A piece of one block.

    Attributes:
      key: Key of the block.
      parent: Key of the block before it; empty for the first.
      position: Number of the block in its prompt, from 0.
      generation: Generation of the block at the store; 0 when sent to it.
      checksum: Checksum of the whole block.
      total_bytes: Size of the whole block.
      recompute_us: Time to compute the block again, in microseconds.
      offset: Place of `data` in the block.
      data: The piece.
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
    """Ends a fetch; counts the blocks that were sent whole."""

    blocks: int


@codec.register(405, _SCHEMA, "Keep")
@attrs.frozen
class Keep:
    """Gives parts of blocks to a store.

    Attributes:
      scope: Scope of the blocks.
      upload: Number drawn by the sender; parts of one block share it.
      parts: Parts in order; a part that ends its block seals it.
    """

    scope: BlockScope
    upload: int
    parts: tuple[BlockPart, ...]


@codec.register(406, _SCHEMA, "KeepReply")
@attrs.frozen
class KeepReply:
    """Counts the leading parts that were taken, and why the next was not."""

    parts: int
    reason: str = ""


@codec.register(407, _SCHEMA, "Free")
@attrs.frozen
class Free:
    """Frees all blocks that match the fields that are not empty."""

    workspace: str
    deployment: str = ""
    version: str = ""
    key: bytes = b""


@codec.register(408, _SCHEMA, "FreeReply")
@attrs.frozen
class FreeReply:
    """Counts the freed blocks."""

    blocks: int


def to_message(scope: tokens.Scope) -> BlockScope:
    """Returns the message of a scope."""
    return BlockScope(*scope)


def to_scope(message: BlockScope) -> tokens.Scope:
    """Returns the scope in a message."""
    return tokens.Scope(
        message.workspace, message.deployment, message.version, message.adapter
    )
