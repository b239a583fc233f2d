"""Replicated log: a pure consensus core, its storage and driver."""

from __future__ import annotations
