"""Routing key of a prompt, which determines its home targets."""

from __future__ import annotations

import array
import hashlib
import typing

from cactusstile import tokens as tokens_lib

if typing.TYPE_CHECKING:
    import collections.abc

MAX_DEFAULT_ANCHOR_TOKENS = 256


def prefix_key(
    scope: tokens_lib.Scope,
    tokens: collections.abc.Sequence[int],
    anchor_tokens: int = 0,
) -> bytes:
    """Returns the routing key of a prompt.

    The key is the same for all prompts of a conversation. It covers the
    workspace, the deployment, the adapter and the anchor of the prompt: the
    leading tokens that all later prompts of the conversation repeat and that
    distinguish it from others, such as the system messages and the first user
    message. It does not cover the weight version, so that the home targets
    stay the same across a version swap.

    Args:
      scope: Scope of the prompt.
      tokens: Tokens of the complete prompt.
      anchor_tokens: Length of the anchor in tokens; 0 if unknown, in which
        case the anchor is the largest power of two of leading tokens, up to
        `MAX_DEFAULT_ANCHOR_TOKENS`.

    >>> scope = tokens_lib.Scope("bank", "chat", "v1")
    >>> first = prefix_key(scope, range(100), 40)
    >>> first == prefix_key(scope._replace(version="v2"), range(500), 40)
    True
    """
    if anchor_tokens <= 0:
        max_anchor_tokens = min(len(tokens), MAX_DEFAULT_ANCHOR_TOKENS)
        anchor_tokens = 1 << max_anchor_tokens.bit_length() >> 1
    digest = hashlib.blake2b(digest_size=tokens_lib.KEY_BYTES)
    for part in (scope.workspace, scope.deployment, scope.adapter):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4, "little"))
        digest.update(encoded)
    digest.update(array.array("I", tokens[:anchor_tokens]).tobytes())
    return digest.digest()
