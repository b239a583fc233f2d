"""Control role: replicated state machines, their daemon and their client."""

from __future__ import annotations
