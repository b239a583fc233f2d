"""Command line: one thin module per command."""

from __future__ import annotations
