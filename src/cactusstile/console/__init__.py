"""Command line: one module per command, without logic of its own."""

from __future__ import annotations
