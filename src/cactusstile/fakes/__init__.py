"""Small test doubles of external interfaces."""

from __future__ import annotations
