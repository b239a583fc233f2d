"""Forwards the opaque HTTP requests of callers to targets without agents."""

from __future__ import annotations
