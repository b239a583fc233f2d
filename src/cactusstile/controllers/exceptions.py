"""Errors of controllers."""

from __future__ import annotations


class SupersededError(Exception):
    """Raised when a newer agent owns this agent's target."""
