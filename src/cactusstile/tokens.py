"""Tokenization of prompts and chained keys of their blocks."""

from __future__ import annotations

import array
import hashlib
import sys
import typing

if typing.TYPE_CHECKING:
    import collections.abc

BLOCK_TOKENS = 16
KEY_BYTES = 16
_BYTES_PER_TOKEN = 4


class Scope(typing.NamedTuple):
    """Scope of a stored block, covered by its key besides the tokens.

    Attributes:
      workspace: Name of the owning workspace.
      deployment: Name of the model deployment.
      version: Weight version of the deployment.
      adapter: Adapter as "name@version"; empty if there is none.
    """

    workspace: str
    deployment: str
    version: str
    adapter: str = ""


def byte_tokenizer(text: str) -> list[int]:
    """Returns one token per four bytes of UTF-8, zero-padded at the end.

    Used in place of a model's tokenizer: reversible, and appending text does
    not change the tokens of complete groups of four bytes.

    >>> byte_tokenizer("abcde") == [0x64636261, 0x65]
    True
    """
    data = text.encode()
    data += bytes(-len(data) % _BYTES_PER_TOKEN)
    tokens = array.array("I", data)
    if sys.byteorder == "big":
        tokens.byteswap()
    return tokens.tolist()


def block_keys(
    scope: Scope, tokens: collections.abc.Sequence[int]
) -> list[bytes]:
    """Returns the chained key of each full block of `tokens`.

    Each key covers the scope and all tokens up to the end of its block, so
    equal keys imply equal prefixes in the same scope.

    >>> scope = Scope("bank", "chat", "v1")
    >>> keys = block_keys(scope, list(range(40)))
    >>> len(keys), keys[0] == block_keys(scope, list(range(16)))[0]
    (2, True)
    """
    seed = hashlib.blake2b(digest_size=KEY_BYTES)
    for part in scope:
        encoded = part.encode()
        seed.update(len(encoded).to_bytes(4, "little"))
        seed.update(encoded)
    key = seed.digest()
    keys = []
    for end in range(BLOCK_TOKENS, len(tokens) + 1, BLOCK_TOKENS):
        block = array.array("I", tokens[end - BLOCK_TOKENS : end])
        chained = hashlib.blake2b(key, digest_size=KEY_BYTES)
        chained.update(block.tobytes())
        key = chained.digest()
        keys.append(key)
    return keys
