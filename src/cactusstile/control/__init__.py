"""Control: the replicated state machine and its daemon."""

from __future__ import annotations
