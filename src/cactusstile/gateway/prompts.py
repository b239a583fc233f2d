"""Prompts as parts, and which parts a target is believed to hold."""

from __future__ import annotations

import collections

import attrs

MAX_PARTS = 64
MAX_TOKENS = 1 << 24


@attrs.frozen
class Part:
    """A part of a prompt that other prompts may share.

    Attributes:
      id: Identity of the part.
      tokens: Its length.
    """

    id: str
    tokens: int


@attrs.frozen
class Prompt:
    """What a request says of its prompt.

    Attributes:
      model: Name of the model; empty if the request names none.
      tokens: Tokens of the whole prompt.
      max_output_tokens: Bound of the answer.
      expected_tokens: Length of the answer that the caller expects; 0 if it
        does not say.
      parts: Parts in order; they may make up less than the whole prompt.
    """

    model: str = ""
    tokens: int = 0
    max_output_tokens: int = 0
    expected_tokens: int = 0
    parts: tuple[Part, ...] = ()


def parse(
    model: str | None,
    usage: str | None,
    parts: str | None,
    expected: str | None = None,
) -> Prompt:
    """Returns the prompt that header fields describe.

    What cannot be read counts as not said: it only decides the placement.

    >>> parse("m", "30,5", "a:10,b:20").parts[1]
    Part(id='b', tokens=20)
    >>> parse(None, "x", "a:y")
    Prompt(model='', tokens=0, max_output_tokens=0, expected_tokens=0, parts=())
    """
    found = []
    for text in (parts or "").split(",")[:MAX_PARTS]:
        identity, _, length = text.strip().rpartition(":")
        if identity and _is_count(length):
            found.append(Part(identity, int(length)))
    tokens, _, bound = (usage or "").partition(",")
    prompt_tokens = sum(part.tokens for part in found)
    if _is_count(tokens.strip()):
        prompt_tokens = int(tokens)
    output_tokens = int(bound) if _is_count(bound.strip()) else 0
    length = (expected or "").strip()
    expected_tokens = int(length) if _is_count(length) else 0
    return Prompt(
        model or "", prompt_tokens, output_tokens, expected_tokens, tuple(found)
    )


def _is_count(text: str) -> bool:
    digits = text.isascii() and text.isdecimal() and len(text) <= MAX_PARTS
    return digits and int(text) <= MAX_TOKENS


@attrs.define
class HeldParts:
    """Parts that a target has read lately, the last used at the end.

    An estimate from the prompts that gateways sent there.

    Attributes:
      limit_tokens: Tokens after which the least recently used are forgotten.
      parts: Length of each part, by salt and identity.
      tokens: Sum of the lengths.
    """

    limit_tokens: int
    parts: collections.OrderedDict[tuple[str, str], int] = attrs.field(
        factory=collections.OrderedDict
    )
    tokens: int = 0

    def held_tokens(self, salt: str, prompt: Prompt) -> int:
        """Returns how many of the prompt's first tokens are held.

        >>> held = HeldParts(100)
        >>> held.note("", Prompt(parts=(Part("a", 10), Part("b", 20))))
        >>> held.held_tokens("", Prompt(parts=(Part("a", 10), Part("c", 9))))
        10
        """
        found = 0
        for part in prompt.parts:
            if (salt, part.id) not in self.parts:
                break
            found += part.tokens
        return found

    def note(self, salt: str, prompt: Prompt) -> None:
        """Notes that the target reads a prompt."""
        # Later parts are of use only with those before, so these stay longer.
        for part in reversed(prompt.parts):
            key = (salt, part.id)
            self.tokens += part.tokens - self.parts.pop(key, 0)
            self.parts[key] = part.tokens
        while self.tokens > self.limit_tokens and len(self.parts) > 1:
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped

    def clear(self) -> None:
        """Forgets all parts."""
        self.parts.clear()
        self.tokens = 0
