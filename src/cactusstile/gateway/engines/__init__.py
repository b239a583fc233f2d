"""Where prompts run: memory, caches, queues and placement."""

from __future__ import annotations
