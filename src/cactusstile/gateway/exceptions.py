"""Errors of the gateway."""

from __future__ import annotations


class SupersededError(Exception):
    """Raised when control confirms a configuration that was not applied."""
