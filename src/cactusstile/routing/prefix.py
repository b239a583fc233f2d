"""The key that decides the homes of a prompt."""

from __future__ import annotations

import array
import hashlib
import typing

from cactusstile import tokens as tokens_lib

if typing.TYPE_CHECKING:
    import collections.abc

MAX_UNMARKED_ANCHOR_TOKENS = 256


def prefix_key(
    scope: tokens_lib.Scope,
    tokens: collections.abc.Sequence[int],
    anchor_tokens: int = 0,
) -> bytes:
    """Returns the routing key of a prompt, equal over all its returns.

    The key covers the workspace, deployment, adapter and the prompt's anchor:
    the part that every later visit repeats and that tells one conversation
    from another, such as the system messages and the first user message. The
    weight version is left out, so that homes outlive a version swap.

    Args:
      scope: What the prompt belongs to.
      tokens: The whole prompt.
      anchor_tokens: Length of the anchor; 0 when the caller cannot tell, in
        which case a power of two of leading tokens stands in.

    >>> scope = tokens_lib.Scope("bank", "chat", "v1")
    >>> first = prefix_key(scope, range(100), 40)
    >>> first == prefix_key(scope._replace(version="v2"), range(500), 40)
    True
    """
    if anchor_tokens <= 0:
        longest = min(len(tokens), MAX_UNMARKED_ANCHOR_TOKENS)
        anchor_tokens = 1 << longest.bit_length() >> 1
    digest = hashlib.blake2b(digest_size=tokens_lib.KEY_BYTES)
    for part in (scope.workspace, scope.deployment, scope.adapter):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    digest.update(array.array("I", tokens[:anchor_tokens]).tobytes())
    return digest.digest()
