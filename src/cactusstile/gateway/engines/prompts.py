"""Prompts as sequences of parts, and estimates of cached parts."""

from __future__ import annotations

import collections

import attrs

MAX_PARTS = 64
MAX_TOKENS = 1 << 24


@attrs.frozen
class Part:
    """A part of a prompt that other prompts may share.

    Attributes:
      id: Id of the part.
      tokens: Length in tokens.
    """

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """A prompt as described by the request's header fields.

    Attributes:
      model: Name of the model; empty if the request does not name a model.
      tokens: Length of the complete prompt in tokens.
      max_output_tokens: Limit of the answer's tokens; 0 if there is none.
      expected_tokens: Number of output tokens that the caller expects; 0 if it
        gives no estimate.
      parts: Parts in order; they may cover only a prefix of the prompt.
      has_last_part: Whether the last of `parts` is the last of the prompt.
    """

    model: str = ""
    tokens: int = 0
    max_output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[Part, ...] = ()
    has_last_part: bool = True

    def shared_ids(self) -> tuple[str, ...]:
        """Returns the ids of all parts but the last, which is its own.

        >>> Prompt(parts=(Part("a", 10), Part("b", 20))).shared_ids()
        ('a',)
        """
        shared = self.parts[:-1] if self.has_last_part else self.parts
        return tuple(part.id for part in shared)


def parse(
    model: str | None,
    usage: str | None,
    parts: str | None,
    expected: str | None = None,
) -> Prompt:
    """Parses the header fields that describe a prompt.

    Invalid values are ignored, since they only affect the placement. Parts end
    before the first invalid one: engines count the positions of all of them.

    >>> parse("m", "30,5", "a:10,b:20").parts[1]
    Part(id='b', tokens=20)
    >>> parse(None, "x", "a:1,b:y,c:2").parts
    (Part(id='a', tokens=1),)
    """
    parsed: list[Part] = []
    texts = (parts or "").split(",")
    for text in texts[:MAX_PARTS]:
        identity, _, length = text.strip().rpartition(":")
        if not identity or not _is_count(length):
            break
        parsed.append(Part(identity, int(length)))
    tokens, _, limit = (usage or "").partition(",")
    prompt_tokens = sum(part.tokens for part in parsed)
    if _is_count(tokens.strip()):
        prompt_tokens = int(tokens)
    output_tokens = int(limit) if _is_count(limit.strip()) else 0
    length = (expected or "").strip()
    expected_tokens = int(length) if _is_count(length) else 0
    return Prompt(
        model or "",
        prompt_tokens,
        output_tokens,
        expected_tokens,
        tuple(parsed),
        has_last_part=len(parsed) == len(texts),
    )


def _is_count(text: str) -> bool:
    digits = text.isascii() and text.isdecimal() and len(text) <= MAX_PARTS
    return digits and int(text) <= MAX_TOKENS


@attrs.define
class CachedParts:
    """Estimate of the prompt parts that a target caches.

    Models an LRU cache, filled with the prompts that gateways sent to the
    target.

    Attributes:
      capacity_tokens: Number of tokens above which the least recently used
        parts are evicted.
      parts: Length in tokens of each part, by salt and id; the most recently
        used part is at the end.
      tokens: Sum of the lengths.
    """

    capacity_tokens: int
    parts: collections.OrderedDict[tuple[str, str], int] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def prefix_tokens(self, salt: str, prompt: Prompt) -> int:
        """Returns the length of the prompt's cached prefix in tokens.

        >>> cached = CachedParts(100)
        >>> cached.add("", Prompt(parts=(Part("a", 10), Part("b", 20))))
        >>> prompt = Prompt(parts=(Part("a", 10), Part("c", 9)))
        >>> cached.prefix_tokens("", prompt)
        10
        """
        prefix = 0
        for part in prompt.parts:
            if (salt, part.id) not in self.parts:
                break
            prefix += part.tokens
        return prefix

    def add(self, salt: str, prompt: Prompt) -> None:
        """Records a prompt that is sent to the target."""
        # A part is usable only together with the parts before it, so earlier
        # parts are marked as used more recently.
        for part in reversed(prompt.parts):
            key = (salt, part.id)
            self.tokens += part.tokens - self.parts.pop(key, 0)
            self.parts[key] = part.tokens
        while self.tokens > self.capacity_tokens and len(self.parts) > 1:
            _, evicted = self.parts.popitem(last=False)
            self.tokens -= evicted

    def clear(self) -> None:
        """Removes all parts."""
        self.parts.clear()
        self.tokens = 0
