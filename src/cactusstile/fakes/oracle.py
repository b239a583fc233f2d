"""The right answers of the fake engine, for checkers.

An output token depends on the contents of all KV blocks before it, so a wrong,
partial or stale block shows as a wrong answer.
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
    """Returns the right content of a block whose chained key is `key`."""
    return key * (size // len(key))


def kv_digest(content: bytes) -> bytes:
    """Returns what a block's content contributes to later tokens.

    >>> kv_digest(kv_content(bytes(range(16)), 64)) == bytes(range(16))
    True
    """
    head = content[:DIGEST_BYTES]
    if head and content == head * (len(content) // DIGEST_BYTES):
        return head
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()


class Context:
    """What an engine has read so far; yields the next tokens."""

    def __init__(
        self,
        scope: tokens.Scope,
        block_digests: collections.abc.Iterable[bytes],
        tail: collections.abc.Sequence[int],
    ) -> None:
        """Starts after the blocks and the `tail` of tokens behind them."""
        name = "\x1f".join(scope).encode()
        self._state = hashlib.blake2b(name, digest_size=DIGEST_BYTES)
        for digest in block_digests:
            self._state.update(digest)
        self._state.update(array.array("I", tail).tobytes())

    def next_token(self) -> int:
        """Returns the next token and appends it to the context."""
        digest = self._state.digest()
        letters = bytes(_LETTERS[byte & 15] for byte in digest[:3])
        token = int.from_bytes(letters + b" ", "little")
        self._state.update(token.to_bytes(4, "little"))
        return token


def start(
    scope: tokens.Scope, prompt: collections.abc.Sequence[int]
) -> Context:
    """Returns the right context after `prompt`."""
    keys = tokens.block_keys(scope, prompt)
    return Context(scope, keys, prompt[len(keys) * tokens.BLOCK_TOKENS :])


def answer(
    scope: tokens.Scope,
    prompt: collections.abc.Sequence[int],
    count: int,
) -> list[int]:
    """Returns the right `count` output tokens for a prompt.

    >>> scope = tokens.Scope("bank", "chat", "v1")
    >>> whole = answer(scope, [1, 2, 3], 4)
    >>> answer(scope, [1, 2, 3], 2) == whole[:2]
    True
    """
    context = start(scope, prompt)
    return [context.next_token() for _ in range(count)]


def detokenize(output: collections.abc.Iterable[int]) -> str:
    """Returns the text of output tokens.

    >>> detokenize([0x20636261])
    'abc '
    """
    parts = [token.to_bytes(4, "little") for token in output]
    return b"".join(parts).rstrip(b"\0").decode(errors="replace")
