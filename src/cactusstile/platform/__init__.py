"""Adapter to the users' platform: names, formats and calls."""

from __future__ import annotations
