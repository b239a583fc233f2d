"""Agent: the process beside one target, which knows its state."""

from __future__ import annotations
