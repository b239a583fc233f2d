"""What is to be told to one group of gateways, and when."""

from __future__ import annotations

import collections

import attrs

from cactusstile.gateway.peers import load_table
from cactusstile.sites import messages

# Time after which an unchanged load is sent again, since datagrams may be lost.
REPEAT_INTERVAL_S = 0.4
# Limits of the prompts that are queued for the next datagram, and of the size
# of each: the maximum size of a datagram is 64 KiB.
MAX_QUEUED_BYTES = 40_000
MAX_PROMPT_BYTES = 1000
MAX_QUEUED_FETCHES = 200
_BYTES_PER_PART = 32


def prompt_bytes(prompt: messages.SentPrompt) -> int:
    """Returns the approximate size of an announcement in bytes."""
    parts = sum(len(part.id) + _BYTES_PER_PART for part in prompt.parts)
    return len(prompt.target) + len(prompt.salt) + parts


@attrs.define
class PromptQueue:
    """Announcements for the next datagram; the oldest are dropped if full.

    Attributes:
      prompts: The announcements, oldest first.
      size_bytes: Approximate size of all.
    """

    prompts: collections.deque[messages.SentPrompt] = attrs.field(
        factory=collections.deque
    )
    size_bytes: int = 0

    def add(self, prompt: messages.SentPrompt) -> None:
        """Appends an announcement."""
        self.prompts.append(prompt)
        self.size_bytes += prompt_bytes(prompt)
        while self.size_bytes > MAX_QUEUED_BYTES:
            self.size_bytes -= prompt_bytes(self.prompts.popleft())

    def take(self) -> tuple[messages.SentPrompt, ...]:
        """Returns all announcements and removes them."""
        taken = tuple(self.prompts)
        self.prompts.clear()
        self.size_bytes = 0
        return taken


@attrs.frozen
class Announcements:
    """What gateways announce besides their loads.

    Attributes:
      prompts: Prompts that were sent to engines.
      fetches: Observed fetches.
    """

    prompts: tuple[messages.SentPrompt, ...] = ()
    fetches: tuple[messages.ObservedFetch, ...] = ()


@attrs.define
class Channel:
    """What was last sent to one group of receivers.

    Attributes:
      prompts: Prompts to announce with the next message.
      fetches: Fetches to announce with it; the oldest are dropped if full.
      loads: Loads of the last message.
      sent_at_s: Loop time of the last message.
    """

    prompts: PromptQueue = attrs.field(factory=PromptQueue)
    fetches: collections.deque[messages.ObservedFetch] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_QUEUED_FETCHES)
    )
    loads: load_table.Loads = attrs.field(factory=dict)
    sent_at_s: float = float("-inf")

    def is_due(self, loads: load_table.Loads, now_s: float) -> bool:
        """Returns whether there is something new, or a repeat is due."""
        if self.prompts.prompts or self.fetches or loads != self.loads:
            return True
        return now_s - self.sent_at_s >= REPEAT_INTERVAL_S

    def record(self, loads: load_table.Loads, now_s: float) -> Announcements:
        """Records a message; returns the announcements that belong to it."""
        self.loads = loads
        self.sent_at_s = now_s
        fetches = tuple(self.fetches)
        self.fetches.clear()
        return Announcements(self.prompts.take(), fetches)
