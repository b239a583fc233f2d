"""Clients of external interfaces: engines, services, platform, weights."""

from __future__ import annotations
