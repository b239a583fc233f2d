"""Blocks whose upload is incomplete; they cannot be read."""

from __future__ import annotations

import collections
import collections.abc
import typing

import attrs

from cactusstile.store import blocks
from cactusstile.store import exceptions

if typing.TYPE_CHECKING:
    from cactusstile import tokens
    from cactusstile.store import messages

UPLOAD_MAX_AGE_S = 10.0
MAX_UPLOAD_BYTES = 64 * 1024 * 1024
MAX_BLOCK_BYTES = 16 * 1024 * 1024

_UploadKey: typing.TypeAlias = "tuple[tokens.Scope, int, bytes]"


@attrs.define
class _Upload:
    data: bytearray
    total_bytes: int
    started_s: float


class Uploads:
    """Unsealed blocks by scope, upload number and block key.

    Attributes:
      pending_bytes: Bytes reserved for unsealed blocks.
    """

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        """Starts empty; `clock` returns monotonic seconds."""
        self.pending_bytes = 0
        self._clock = clock
        self._pending: collections.OrderedDict[_UploadKey, _Upload]
        self._pending = collections.OrderedDict()

    def add(
        self, scope: tokens.Scope, upload: int, part: messages.BlockPart
    ) -> blocks.Block | None:
        """Adds a part; returns the block once it is complete, else None.

        Raises:
          RejectedBlockError: If the part does not continue its block, the block
            is too large, or too many bytes are pending.
        """
        self._expire()
        if part.offset == 0 and len(part.data) == part.total_bytes:
            return _to_block(part, part.data)
        name = (scope, upload, part.key)
        if part.offset == 0:
            self._discard(name)
            self._begin(name, part.total_bytes)
        pending = self._pending.get(name)
        if pending is None or len(pending.data) != part.offset:
            self._discard(name)
            raise exceptions.RejectedBlockError("a part is missing; start over")
        pending.data += part.data
        if len(pending.data) < pending.total_bytes:
            return None
        data = bytes(pending.data)
        self._discard(name)
        return _to_block(part, data)

    def _begin(self, name: _UploadKey, total_bytes: int) -> None:
        if not 0 < total_bytes <= MAX_BLOCK_BYTES:
            raise exceptions.RejectedBlockError("the block is too large")
        if self.pending_bytes + total_bytes > MAX_UPLOAD_BYTES:
            raise exceptions.RejectedBlockError("too many blocks under way")
        self.pending_bytes += total_bytes
        self._pending[name] = _Upload(bytearray(), total_bytes, self._clock())

    def _discard(self, name: _UploadKey) -> None:
        pending = self._pending.pop(name, None)
        if pending is not None:
            self.pending_bytes -= pending.total_bytes

    def _expire(self) -> None:
        min_started_s = self._clock() - UPLOAD_MAX_AGE_S
        while self._pending:
            name, pending = next(iter(self._pending.items()))
            if pending.started_s > min_started_s:
                return
            self._discard(name)


def _to_block(part: messages.BlockPart, data: bytes) -> blocks.Block:
    if len(data) != part.total_bytes:
        raise exceptions.RejectedBlockError("the parts exceed the block")
    return blocks.Block(
        part.key,
        part.parent,
        part.position,
        data,
        part.checksum,
        part.recompute_us,
    )
