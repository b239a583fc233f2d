"""Blocks of computed prompt state: identity, content and checksum."""

from __future__ import annotations

import hashlib
import hmac

import attrs

from cactusstile import tokens
from cactusstile.store import exceptions

CHECKSUM_BYTES = 16


@attrs.frozen
class Block:
    """A block of exported prompt state.

    Attributes:
      key: Chained key; see `tokens.block_keys`.
      parent: Key of the preceding block; empty for the first block.
      position: Index of the block in its prompt, counted from 0.
      data: Exported state.
      checksum: Checksum computed by the agent of the exporting engine.
      recompute_us: Time to recompute the block, in microseconds.
    """

    key: bytes
    parent: bytes
    position: int
    data: bytes
    checksum: bytes
    recompute_us: int = 0


def checksum(scope: tokens.Scope, key: bytes, data: bytes) -> bytes:
    """Returns the checksum over a block's scope, key and content.

    >>> scope = tokens.Scope("bank", "chat", "v1")
    >>> one = checksum(scope, b"key", b"state")
    >>> one == checksum(scope._replace(version="v2"), b"key", b"state")
    False
    """
    digest = start_checksum(scope, key)
    digest.update(data)
    return digest.digest()


def start_checksum(scope: tokens.Scope, key: bytes) -> hashlib.blake2b:
    """Returns a hash over scope and key, to be updated with the content."""
    digest = hashlib.blake2b(digest_size=CHECKSUM_BYTES)
    for part in (*(text.encode() for text in scope), key):
        digest.update(len(part).to_bytes(4, "little"))
        digest.update(part)
    return digest


def verify(scope: tokens.Scope, block: Block) -> None:
    """Verifies the checksum of a copied block before its use.

    Raises:
      CorruptBlockError: If the content, the key or `scope` differs from the
        export.
    """
    actual = checksum(scope, block.key, block.data)
    if not hmac.compare_digest(actual, block.checksum):
        raise exceptions.CorruptBlockError(
            f"block {block.key.hex()} does not match its checksum; dropped"
        )
