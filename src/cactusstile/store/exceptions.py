"""Errors of kept blocks."""

from __future__ import annotations


class StoreError(Exception):
    """Base of all errors of kept blocks."""


class UnknownBlockError(StoreError):
    """Raised when a block is not kept, was freed, or is not sealed yet."""


class CorruptBlockError(StoreError):
    """Raised when a block's content does not match its checksum."""


class RejectedBlockError(StoreError):
    """Raised when a block cannot be kept; says why."""
