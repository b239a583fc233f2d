"""Adapter to the platform: names, formats and calls."""

from __future__ import annotations
