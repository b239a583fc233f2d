"""Errors of the block store."""

from __future__ import annotations


class StoreError(Exception):
    """Base class of block store errors."""


class UnknownBlockError(StoreError):
    """Raised when a block is not stored, was freed or is not sealed yet."""


class CorruptBlockError(StoreError):
    """Raised when a block's content does not match its checksum."""


class RejectedBlockError(StoreError):
    """Raised when a block cannot be stored; the message gives the reason."""
