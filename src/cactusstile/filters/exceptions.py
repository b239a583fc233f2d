"""Errors of the filter chain."""

from __future__ import annotations


class CallerLeftError(Exception):
    """Raised if the caller closed the connection or stopped reading."""
