"""Exceptions of the controllers."""

from __future__ import annotations


class SupersededError(Exception):
    """Raised when a newer agent has taken over this agent's target."""
