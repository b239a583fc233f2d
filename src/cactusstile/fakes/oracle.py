"""Expected answers of the fake engine.

Each output token depends on the contents of all KV blocks before it, so a
wrong, partial or stale block produces a wrong answer.
"""

from __future__ import annotations

import array
import hashlib
import typing

from cactusstile import tokens

if typing.TYPE_CHECKING:
    import collections.abc

DIGEST_BYTES = tokens.KEY_BYTES
_LETTERS = b"abcdefghijklmnop"


def kv_content(key: bytes, size: int) -> bytes:
    """Returns the correct content of a block whose chained key is `key`."""
    return key * (size // len(key))


def kv_digest(content: bytes) -> bytes:
    """Returns the digest of a block that later tokens depend on.

    >>> kv_digest(kv_content(bytes(range(16)), 64)) == bytes(range(16))
    True
    """
    head = content[:DIGEST_BYTES]
    if head and content == head * (len(content) // DIGEST_BYTES):
        return head
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


class Context:
    """State of a sequence of tokens from which the next token follows."""

    def __init__(
        self,
        scope: tokens.Scope,
        block_digests: collections.abc.Iterable[bytes],
        tail: collections.abc.Sequence[int],
    ) -> None:
        """Starts after complete blocks and a `tail` of remaining tokens."""
        name = "\x1f".join(scope).encode()
        self._state = hashlib.blake2b(name, digest_size=DIGEST_BYTES)
        self._last_digest = b""
        self._scope = scope
        self._block_count = 0
        self._tail = list(tail)
        for digest in block_digests:
            self._add_block(digest)

    def next_token(self) -> int:
        """Returns the next token and appends it to the context."""
        state = self._state.copy()
        state.update(array.array("I", self._tail).tobytes())
        letters = bytes(_LETTERS[byte & 15] for byte in state.digest()[:3])
        token = int.from_bytes(letters + b" ", "little")
        self._tail.append(token)
        if len(self._tail) == tokens.BLOCK_TOKENS:
            self._add_block(self._next_key())
            self._tail.clear()
        return token

    def _add_block(self, digest: bytes) -> None:
        self._state.update(digest)
        self._last_digest = digest
        self._block_count += 1

    def _next_key(self) -> bytes:
        """Returns the chained key of the block that the tail completes."""
        if not self._block_count:
            return tokens.block_keys(self._scope, self._tail)[0]
        chained = hashlib.blake2b(
            self._last_digest, digest_size=tokens.KEY_BYTES
        )
        chained.update(array.array("I", self._tail).tobytes())
        return chained.digest()


def start_context(
    scope: tokens.Scope, prompt: collections.abc.Sequence[int]
) -> Context:
    """Returns the correct context after `prompt`."""
    keys = tokens.block_keys(scope, prompt)
    return Context(scope, keys, prompt[len(keys) * tokens.BLOCK_TOKENS :])


def answer(
    scope: tokens.Scope,
    prompt: collections.abc.Sequence[int],
    count: int,
) -> list[int]:
    """Returns the expected `count` output tokens for a prompt.

    >>> scope = tokens.Scope("bank", "chat", "v1")
    >>> whole = answer(scope, [1, 2, 3], 4)
    >>> answer(scope, [1, 2, 3], 2) == whole[:2]
    True

    An answer resumed after a prefix of its own output ends the same way:

    >>> whole = answer(scope, list(range(20)), 40)
    >>> answer(scope, list(range(20)) + whole[:17], 23) == whole[17:]
    True
    """
    context = start_context(scope, prompt)
    return [context.next_token() for _ in range(count)]


def detokenize(output: collections.abc.Iterable[int]) -> str:
    """Returns the text of output tokens.

    >>> detokenize([0x20636261])
    'abc '
    """
    parts = [token.to_bytes(4, "little") for token in output]
    return b"".join(parts).rstrip(b"\0").decode(errors="replace")
