"""Kept blocks: storage, eviction and transfer."""

from __future__ import annotations
